package org.wheatwall.app.operator;

import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Explains why a job waits or where it runs. */
public final class ExplainVerb implements Verb {
  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "tell why a job waits or where it runs";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options = OperatorClient.options("explain JOB");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().size() != 1) {
      throw new ParseException("name one job");
    }
    OperatorClient client = OperatorClient.of(options);
    console.out(
        client
            .get("/v1/jobs/" + options.positionalArguments().get(0) + "/explain")
            .path("explanation")
            .asText());
    return DONE;
  }
}
