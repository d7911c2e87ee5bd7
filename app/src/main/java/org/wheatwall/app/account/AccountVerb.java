package org.wheatwall.app.account;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.OutputFiles;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Tells from the hosts' logs what the time of the jobs went into. */
public final class AccountVerb implements Verb {
  private static final int NAMED_AT_MOST = 5;

  @Override
  public String name() {
    return "account";
  }

  @Override
  public String summary() {
    return "tell from the hosts' logs what the time of jobs went into";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions("account [OPTIONS] FILE...")
            .value("csv", "write a line a job to this file")
            .value("chart", "write a chart of workers by time to this file, as SVG");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().isEmpty()) {
      throw new ParseException("name the files that hold the hosts' log lines");
    }
    LogFiles files = LogFiles.read(options.positionalArguments().stream().map(Path::of).toList());
    Account account = new Account(files.lines());
    account.table().forEach(console::out);
    console.out("");
    account.stops().forEach(console::out);
    new Standstills(files.lines()).tables().forEach(table -> tell(table, console));
    tellUnreadable(files.unreadable(), console);
    if (options.has("csv")) {
      OutputFiles.write(options.required("csv"), account.csv());
    }
    if (options.has("chart")) {
      OutputFiles.write(options.required("chart"), new RunChart(account).lines());
    }
    return DONE;
  }

  private static void tell(List<String> table, Console console) {
    console.out("");
    table.forEach(console::out);
  }

  private static void tellUnreadable(List<String> places, Console console) {
    if (!places.isEmpty()) {
      List<String> first = places.subList(0, Math.min(NAMED_AT_MOST, places.size()));
      console.err(places.size() + " lines could not be read, first " + String.join(", ", first));
    }
  }
}
