package org.wheatwall.app.account;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.OutputFiles;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Reports from the hosts' logs how the time of jobs was spent. */
public final class AccountVerb implements Verb {
  private static final int MAX_NAMED = 5;

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
    TimeBreakdown breakdown = new TimeBreakdown(files.lines());
    breakdown.table().forEach(console::out);
    console.out("");
    breakdown.stops().forEach(console::out);
    new StallReport(files.lines()).tables().forEach(table -> print(table, console));
    printUnreadable(files.unreadable(), console);
    if (options.has("csv")) {
      OutputFiles.write(options.required("csv"), breakdown.csv());
    }
    if (options.has("chart")) {
      OutputFiles.write(options.required("chart"), new RunChart(breakdown).lines());
    }
    return DONE;
  }

  private static void print(List<String> table, Console console) {
    console.out("");
    table.forEach(console::out);
  }

  private static void printUnreadable(List<String> positions, Console console) {
    if (!positions.isEmpty()) {
      List<String> first = positions.subList(0, Math.min(MAX_NAMED, positions.size()));
      console.err(positions.size() + " lines could not be read, first " + String.join(", ", first));
    }
  }
}
