package org.wheatwall.app.operator;

import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Prints the state or the metrics of an entry host. */
public final class DumpVerb implements Verb {
  @Override
  public String name() {
    return "dump";
  }

  @Override
  public String summary() {
    return "show the state of one entry host";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        OperatorClient.options("dump [--metrics]").flag("metrics", "show metrics instead of state");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    String path = options.has("metrics") ? "/v1/metrics" : "/v1/state";
    DocumentPrinter.printJson(OperatorClient.of(options).get(path), console);
    return DONE;
  }
}
