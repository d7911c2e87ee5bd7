package org.wheatwall.app.account;

import java.util.List;
import java.util.stream.Stream;

/** Reports what delayed work: long waits, blocked stops, ignored ends and late deciders. */
final class StallReport {
  private final LongWaitTable longWaits = new LongWaitTable();
  private final BlockedRuns blockedRuns = new BlockedRuns();
  private final TallyTable longPasses = new TallyTable("long looks at the queue, by host");
  private final TallyTable lateLoops = new TallyTable("late decision loops, by host");
  private int ignoredEnds;

  /** Collects stalls from the log lines of all hosts, oldest first. */
  StallReport(List<LogLine> lines) {
    lines.forEach(this::apply);
  }

  private void apply(LogLine line) {
    blockedRuns.add(line);
    switch (line.event()) {
      case "GROUP_WAITS" -> longWaits.add(line);
      case "END_PASSED_OVER" -> ignoredEnds++;
      case "look-was-long" -> longPasses.add(line.number("tookMs"), List.of(line.host()));
      case "loop-late" -> lateLoops.add(line.number("lateMs"), List.of(line.host()));
      default -> {
        // Other lines do not concern stalls.
      }
    }
  }

  /** Returns the tables that have rows. */
  List<List<String>> tables() {
    return Stream.of(
            longWaits.rows(),
            blockedRuns.rows(),
            ignoredEnds(),
            longPasses.rows(),
            lateLoops.rows())
        .filter(rows -> !rows.isEmpty())
        .toList();
  }

  private List<String> ignoredEnds() {
    if (ignoredEnds == 0) {
      return List.of();
    }
    String label = "ends that were passed over, a fault";
    return List.of(String.format("%-40s %6d", label, ignoredEnds));
  }
}
