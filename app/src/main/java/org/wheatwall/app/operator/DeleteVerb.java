package org.wheatwall.app.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Deletes an object. */
public final class DeleteVerb implements Verb {
  @Override
  public String name() {
    return "delete";
  }

  @Override
  public String summary() {
    return "remove an object";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options = OperatorClient.options("delete KIND NAME");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().size() != 2) {
      throw new ParseException("name a kind and an object");
    }
    OperatorClient client = OperatorClient.of(options);
    String path =
        "/v1/" + options.positionalArguments().get(0) + "/" + options.positionalArguments().get(1);
    JsonNode current = client.get(path);
    client.delete(path, current.path("version").asLong());
    console.out(path.substring("/v1/".length()) + " removed");
    return DONE;
  }
}
