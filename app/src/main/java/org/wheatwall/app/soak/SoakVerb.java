package org.wheatwall.app.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.ParseException;
import org.wheatwall.app.command.Console;
import org.wheatwall.app.command.Verb;
import org.wheatwall.app.command.VerbOptions;

/**
 * Runs entry hosts as processes on this machine, injects random faults from outside, and checks the
 * invariants by what callers and workers observe.
 */
public final class SoakVerb implements Verb {
  private static final int DEFAULT_HOSTS = 4;
  private static final int DEFAULT_WORKERS = 8;
  private static final int DEFAULT_SECONDS = 20;
  private static final int MS_PER_SECOND = 1000;
  private static final int MAX_SHOWN_VIOLATIONS = 20;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "disturb entry hosts at random and check what is promised";
  }

  @Override
  public int run(List<String> arguments, Console console) throws ParseException {
    VerbOptions options =
        new VerbOptions(
                "soak [--seed N] [--count N] [--seconds N] [--hosts N] [--workers N] [--hard]"
                    + " [--jobs N] [--processor N]")
            .value("seed", "the first seed, default 1")
            .value("count", "how many seeds, default 1")
            .value("seconds", "time with disturbances, default " + DEFAULT_SECONDS)
            .value("hosts", "processes under test, default " + DEFAULT_HOSTS)
            .value("workers", "stand-ins of workers, default " + DEFAULT_WORKERS)
            .value("jobs", "jobs a second of an open load, default 0")
            .value("processor", "percentage of a processor for each host, default 100")
            .flag("hard", "tasks crash workers, room changes, machines are suspended")
            .value("folder", "where the processes' output goes, default a new one")
            .value("sabotage", "a fault to put in on purpose, one of " + names());
    if (!options.parse(arguments, console)) {
      return DONE;
    }
    int first = options.integer("seed", 1);
    int count = options.integer("count", 1);
    boolean invariantsHold = true;
    for (int i = 0; i < count; i++) {
      invariantsHold &= run(settings(options, first + i), console);
    }
    return invariantsHold ? DONE : FAILED;
  }

  private static boolean run(SoakSettings settings, Console console) {
    SoakResult result = new SoakRun(settings).run();
    console.out(result.line());
    result.violations().stream()
        .limit(MAX_SHOWN_VIOLATIONS)
        .forEach(violation -> console.out("  " + violation));
    if (!result.violations().isEmpty()) {
      console.out("  output of the processes: " + settings.folder());
    }
    return result.violations().isEmpty();
  }

  private static SoakSettings settings(VerbOptions options, int seed) throws ParseException {
    return new SoakSettings(
        seed,
        options.integer("hosts", DEFAULT_HOSTS),
        options.integer("workers", DEFAULT_WORKERS),
        options.integer("seconds", DEFAULT_SECONDS) * MS_PER_SECOND,
        folder(options, seed),
        options.has("hard"),
        conditions(options),
        sabotage(options));
  }

  private static OperatingConditions conditions(VerbOptions options) throws ParseException {
    return new OperatingConditions(
        options.integer("jobs", 0),
        options.integer("processor", OperatingConditions.UNLIMITED_PERCENT));
  }

  private static Path folder(VerbOptions options, int seed) {
    try {
      return options.has("folder")
          ? Files.createDirectories(Path.of(options.text("folder", "")).resolve("seed-" + seed))
          : Files.createTempDirectory("wheatwall-soak-" + seed + "-");
    } catch (IOException e) {
      throw new UncheckedIOException("the folder for output cannot be made", e);
    }
  }

  private static Optional<Sabotage> sabotage(VerbOptions options) throws ParseException {
    if (!options.has("sabotage")) {
      return Optional.empty();
    }
    String name = options.text("sabotage", "");
    return Optional.of(
        Arrays.stream(Sabotage.values())
            .filter(each -> nameOf(each).equals(name))
            .findFirst()
            .orElseThrow(() -> new ParseException("--sabotage is none of " + names())));
  }

  private static List<String> names() {
    return Arrays.stream(Sabotage.values()).map(SoakVerb::nameOf).toList();
  }

  private static String nameOf(Sabotage sabotage) {
    return sabotage.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
