package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The runs of one group of tasks that starts together, as logged by the deciders. */
final class GroupHistory {
  private static final Pattern EXPECTED = Pattern.compile("expected (\\d+) ms");
  private static final Pattern WORKERS = Pattern.compile(" on ([^ ,]+(?:,[^ ,]+)*)");

  // An end that is logged this soon after a change of decider happened before the change.
  private static final long MAX_REPORT_DELAY_MS = 300;

  private final int step;
  private final List<Run> runs = new ArrayList<>();
  private OptionalLong doneMs = OptionalLong.empty();

  /** One run. */
  static final class Run {
    private final long startMs;
    private final List<String> workers;
    private final long expectedMs;
    private long stoppingMs = Long.MAX_VALUE;
    private long endMs = Long.MAX_VALUE;
    private String stopReason = "";
    private boolean done;

    private Run(long startMs, String reason) {
      this.startMs = startMs;
      Matcher workerNames = WORKERS.matcher(reason);
      this.workers = workerNames.find() ? List.of(workerNames.group(1).split(",")) : List.of();
      Matcher expected = EXPECTED.matcher(reason);
      this.expectedMs = expected.find() ? Long.parseLong(expected.group(1)) : Long.MAX_VALUE;
    }

    long startMs() {
      return startMs;
    }

    /** Returns when its stop was logged, or its end if that was earlier or no stop was logged. */
    long stoppingMs() {
      return Math.min(stoppingMs, endMs);
    }

    long endMs() {
      return endMs;
    }

    boolean ended() {
      return endMs != Long.MAX_VALUE;
    }

    boolean done() {
      return done;
    }

    List<String> workers() {
      return workers;
    }

    long expectedMs() {
      return expectedMs;
    }

    String stopReason() {
      return stopReason;
    }
  }

  GroupHistory(int step) {
    this.step = step;
  }

  int step() {
    return step;
  }

  List<Run> runs() {
    return runs;
  }

  OptionalLong doneMs() {
    return doneMs;
  }

  /** Processes a line about this group. */
  void apply(LogLine line) {
    String reason = line.field("reason");
    switch (line.event()) {
      case "GROUP_STARTED" -> {
        // The end of the previous run may be missing in the log; a run starts only after it.
        lastRun().forEach(run -> end(run, line.atMs()));
        runs.add(new Run(line.atMs(), reason));
      }
      case "RUN_STOPPING" -> lastRun().forEach(run -> stop(run, line.atMs(), reason));
      case "GROUP_INTERRUPTED", "GROUP_FAILED" -> lastRun().forEach(run -> end(run, line.atMs()));
      case "GROUP_DONE" -> {
        doneMs = OptionalLong.of(line.atMs());
        lastRun().forEach(run -> run.done = true);
        lastRun().forEach(run -> end(run, line.atMs()));
      }
      default -> {
        // Other lines do not concern its runs.
      }
    }
  }

  private List<Run> lastRun() {
    return runs.isEmpty() ? List.of() : runs.subList(runs.size() - 1, runs.size());
  }

  private static void stop(Run run, long atMs, String reason) {
    if (run.stoppingMs == Long.MAX_VALUE) {
      run.stoppingMs = atMs;
      run.stopReason = reason;
    }
  }

  private static void end(Run run, long atMs) {
    if (run.endMs == Long.MAX_VALUE) {
      run.endMs = atMs;
    }
  }

  /** Adds the time from {@code readyMs} until this group was done to {@code timeByCategory}. */
  void addTime(long readyMs, DeciderGaps gaps, Map<TimeCategory, Long> timeByCategory) {
    long atMs = readyMs;
    for (Run run : runs) {
      addWait(atMs, run.startMs(), gaps, timeByCategory);
      if (run.done()) {
        addLastRun(run, gaps, timeByCategory);
        return;
      }
      add(timeByCategory, TimeCategory.LOST_RUN, run.stoppingMs() - run.startMs());
      add(timeByCategory, TimeCategory.STOPPING, run.endMs() - run.stoppingMs());
      atMs = run.endMs();
    }
  }

  private static void addWait(
      long fromMs, long toMs, DeciderGaps gaps, Map<TimeCategory, Long> timeByCategory) {
    long withoutDecider = gaps.withoutDecider().lengthWithin(fromMs, toMs);
    long firstReports = gaps.firstReports().lengthWithin(fromMs, toMs);
    add(timeByCategory, TimeCategory.NO_DECIDER, withoutDecider);
    add(timeByCategory, TimeCategory.FIRST_REPORTS, firstReports);
    add(timeByCategory, TimeCategory.ROOM, toMs - fromMs - withoutDecider - firstReports);
  }

  private static void addLastRun(
      Run run, DeciderGaps gaps, Map<TimeCategory, Long> timeByCategory) {
    long tookMs = run.endMs() - run.startMs();
    boolean reportedLate =
        gaps.withoutDecider().endedShortlyBefore(run.endMs(), MAX_REPORT_DELAY_MS);
    long unreportedMs =
        reportedLate ? gaps.withoutDecider().lengthWithin(run.startMs(), run.endMs()) : 0;
    long expected = Math.min(tookMs - unreportedMs, run.expectedMs());
    add(timeByCategory, TimeCategory.NO_DECIDER, unreportedMs);
    add(timeByCategory, TimeCategory.RUNNING, expected);
    add(timeByCategory, TimeCategory.RUNNING_LONGER, tookMs - unreportedMs - expected);
  }

  private static void add(Map<TimeCategory, Long> timeByCategory, TimeCategory category, long ms) {
    timeByCategory.merge(category, Math.max(0, ms), Long::sum);
  }
}
