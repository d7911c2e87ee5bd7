package org.wheatwall.app.account;

import java.util.List;

/**
 * The times without a decider, and those in which a new decider waited for first reports. The end
 * of a term is not logged, so the last line of a decider counts as its end. A decider that had
 * nothing to log may have been active for longer, so a gap is limited to the longest take-over.
 */
final class DeciderGaps {
  // The longest silence of a term holder before a host claims the term, plus 1 s to win it.
  private static final long MAX_GAP_MS = 3200;

  private final Spans withoutDecider = new Spans();
  private final Spans firstReports = new Spans();

  /** Finds the gaps in all hosts' lines, oldest first. */
  DeciderGaps(List<LogLine> lines) {
    long lastLineMs = Long.MIN_VALUE;
    long wonMs = Long.MIN_VALUE;
    for (LogLine line : lines) {
      if (line.event().equals("term-won")) {
        if (lastLineMs != Long.MIN_VALUE) {
          withoutDecider.add(Math.max(lastLineMs, line.atMs() - MAX_GAP_MS), line.atMs());
        }
        wonMs = line.atMs();
      } else if (line.event().equals("FIRST_DECISION") && wonMs != Long.MIN_VALUE) {
        firstReports.add(wonMs, line.atMs());
      }
      if (!line.field("term").isEmpty() && !line.event().equals("holder-asked")) {
        lastLineMs = line.atMs();
      }
    }
  }

  Spans withoutDecider() {
    return withoutDecider;
  }

  Spans firstReports() {
    return firstReports;
  }
}
