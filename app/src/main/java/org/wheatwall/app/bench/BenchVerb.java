package org.wheatwall.app.bench;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/** Measures the cost of each role and extrapolates it to the target size. */
public final class BenchVerb implements Verb {
  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "measure what each role costs and work it out at the target size";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions(
                "bench capacity | bench decider | bench placement | bench contended [--workers N]"
                    + " [--seconds N] [--load PERCENT] [--run-time PERCENT] [--reserve PERCENT]"
                    + " [--core PERCENT] | bench process --pid PID [--seconds N]")
            .value("pid", "process: the process to watch")
            .value("workers", "contended: number of workers, default 1000")
            .value("load", "contended: arrivals, percent of the usual rate, default 100")
            .value(
                "core", "contended: share of a core by which passes are spaced, default 0: fixed")
            .value("run-time", "contended: run times, percent of the usual ones, default 100")
            .value("reserve", "contended: accelerators kept for urgent work, percent, default 45")
            .value(
                "seconds",
                "process: how long to watch, default 10; contended: simulated time, default 20");
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    if (options.positionalArguments().equals(List.of("process"))) {
      return measureProcess(options, console);
    }
    if (options.positionalArguments().equals(List.of("decider"))) {
      SupervisorBench.run().forEach(slope -> console.out(slope.row()));
      return DONE;
    }
    if (options.positionalArguments().equals(List.of("contended"))) {
      ContendedBench.Load load =
          new ContendedBench.Load(
              options.integer("workers", 1000),
              options.integer("seconds", 20),
              options.integer("load", 100) / 100.0,
              options.integer("run-time", 100) / 100.0,
              options.integer("reserve", 45));
      ContendedBench.run(load, options.integer("core", 0) / 100.0).forEach(console::out);
      return DONE;
    }
    if (options.positionalArguments().equals(List.of("placement"))) {
      PlacementBench.run().forEach(slope -> console.out(slope.row()));
      return DONE;
    }
    if (!options.positionalArguments().equals(List.of("capacity"))) {
      throw new ParseException(
          "name what to measure: capacity, decider, placement, contended or process");
    }
    List<Slope> slopes = new ArrayList<>(StateBench.run());
    slopes.addAll(MessageBench.run());
    slopes.addAll(SupervisorBench.run());
    new CapacityReport(slopes, StateBench.recordBytes()).lines().forEach(console::out);
    return DONE;
  }

  private static int measureProcess(VerbOptions options, Console console) throws ParseException {
    options.required("pid");
    try {
      console.out(ProcessMeter.measure(options.integer("pid", 0), options.integer("seconds", 10)));
      return DONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }
}
