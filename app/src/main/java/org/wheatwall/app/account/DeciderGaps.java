package org.wheatwall.app.account;

import java.util.List;

/**
 * The times without a decider, and those in which a new one waited for first reports. A decider
 * that lost its power says nothing, so its last line counts as its end; one that had nothing to say
 * may have lived longer, so a gap is no longer than a take-over takes.
 */
final class DeciderGaps {
  // The longest silence before a host claims the term, and a second to win it.
  private static final long LONGEST_GAP_MS = 3200;

  private final Spans withoutDecider = new Spans();
  private final Spans firstReports = new Spans();

  /** Finds the gaps in all hosts' lines, oldest first. */
  DeciderGaps(List<LogLine> lines) {
    long lastLineMs = Long.MIN_VALUE;
    long wonMs = Long.MIN_VALUE;
    for (LogLine line : lines) {
      if (line.event().equals("term-won")) {
        if (lastLineMs != Long.MIN_VALUE) {
          withoutDecider.add(Math.max(lastLineMs, line.atMs() - LONGEST_GAP_MS), line.atMs());
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
