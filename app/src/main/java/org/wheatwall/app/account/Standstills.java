package org.wheatwall.app.account;

import java.util.List;
import java.util.stream.Stream;

/**
 * What kept work from going on: long waits, stops that did not end, and deciders that were late.
 */
final class Standstills {
  private final LongWaitTable longWaits = new LongWaitTable();
  private final HeldUpRuns heldUpRuns = new HeldUpRuns();
  private final TallyTable longLooks = new TallyTable("long looks at the queue, by host");
  private final TallyTable lateLoops = new TallyTable("late decision loops, by host");
  private int passedOverEnds;

  /** Finds them in all hosts' lines, oldest first. */
  Standstills(List<LogLine> lines) {
    lines.forEach(this::take);
  }

  private void take(LogLine line) {
    heldUpRuns.add(line);
    switch (line.event()) {
      case "GROUP_WAITS" -> longWaits.add(line);
      case "END_PASSED_OVER" -> passedOverEnds++;
      case "look-was-long" -> longLooks.add(line.number("tookMs"), List.of(line.host()));
      case "loop-late" -> lateLoops.add(line.number("lateMs"), List.of(line.host()));
      default -> {
        // Other lines tell of no standstill.
      }
    }
  }

  /** Returns the tables that have rows. */
  List<List<String>> tables() {
    return Stream.of(
            longWaits.rows(),
            heldUpRuns.rows(),
            passedOverEnds(),
            longLooks.rows(),
            lateLoops.rows())
        .filter(rows -> !rows.isEmpty())
        .toList();
  }

  private List<String> passedOverEnds() {
    if (passedOverEnds == 0) {
      return List.of();
    }
    String fault = "ends that were passed over, a fault";
    return List.of(String.format("%-40s %6d", fault, passedOverEnds));
  }
}
