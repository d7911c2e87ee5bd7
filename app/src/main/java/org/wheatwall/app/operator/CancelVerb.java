package org.wheatwall.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Cancels a job. */
public final class CancelVerb implements Verb {
  @Override
  public String name() {
    return "cancel";
  }

  @Override
  public String summary() {
    return "cancel a job; final once accepted";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options = OperatorClient.options("cancel JOB");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().size() != 1) {
      throw new ParseException("name one job");
    }
    OperatorClient client = OperatorClient.of(options);
    String path = "/v1/jobs/" + options.positionalArguments().get(0);
    JsonNode current = client.get(path);
    ObjectNode spec = (ObjectNode) current.path("spec");
    spec.put("phase", "cancelled");
    client.put(path, spec, Optional.of(current.path("version").asLong()));
    console.out("jobs/" + options.positionalArguments().get(0) + " cancelled");
    return DONE;
  }
}
