package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs that did not stop in time, measured from their stop until their end was logged. */
final class BlockedRuns {
  private static final Pattern WORKER = Pattern.compile("(\\S+)=[A-Z]+ stop ");

  private final Map<String, Long> stopMsByGroup = new HashMap<>();
  private final Map<String, Run> openByGroup = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();

  private static final class Run {
    private final long sinceMs;
    private final Set<String> workers = new TreeSet<>();
    private long untilMs;

    private Run(long sinceMs) {
      this.sinceMs = sinceMs;
    }
  }

  /** Processes a line about a group of tasks; lines are added oldest first. */
  void add(LogLine line) {
    String group = line.field("subject");
    switch (line.event()) {
      case "RUN_STOPPING" -> stopMsByGroup.putIfAbsent(group, line.atMs());
      case "RUN_HELD_UP" -> updateBlocked(group, line);
      case "GROUP_STARTED", "GROUP_INTERRUPTED", "GROUP_FAILED", "GROUP_DONE" ->
          close(group, line.atMs());
      default -> {
        // Other lines do not concern stops.
      }
    }
  }

  private void updateBlocked(String group, LogLine line) {
    Run run = openByGroup.computeIfAbsent(group, name -> begin(name, line.atMs()));
    run.untilMs = line.atMs();
    Matcher worker = WORKER.matcher(line.field("reason"));
    while (worker.find()) {
      run.workers.add(worker.group(1));
    }
  }

  private Run begin(String group, long nowMs) {
    Run run = new Run(stopMsByGroup.getOrDefault(group, nowMs));
    runs.add(run);
    return run;
  }

  private void close(String group, long atMs) {
    stopMsByGroup.remove(group);
    Run run = openByGroup.remove(group);
    if (run != null) {
      run.untilMs = atMs;
    }
  }

  /** Returns a table by the workers that blocked a stop, empty if no run was blocked. */
  List<String> rows() {
    TallyTable table = new TallyTable("runs held up, by worker waited for");
    runs.forEach(run -> table.add(run.untilMs - run.sinceMs, run.workers));
    return table.rows();
  }
}
