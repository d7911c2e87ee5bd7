package org.wheatwall.app.account;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A logged wait of a group of tasks that exceeded the limit for long waits.
 *
 * @param kind kind of its wait reason
 * @param waitedMs time it had waited, milliseconds
 * @param groupsWithSameReason number of groups that waited for the same reason, including itself
 * @param usableWorkers number of workers that tasks could be placed on
 */
record LongWait(
    String group, String kind, long waitedMs, int groupsWithSameReason, int usableWorkers) {
  private static final Pattern REASON =
      Pattern.compile(
          "for (\\d+) ms: ([A-Z_]+), .*; (\\d+) of \\d+ groups wait for the same; workers (.*)",
          Pattern.DOTALL);
  private static final Pattern USABLE = Pattern.compile("(\\d+) usable");

  /** Parses a {@code GROUP_WAITS} line; returns empty if its reason has an unknown format. */
  static Optional<LongWait> read(LogLine line) {
    Matcher reason = REASON.matcher(line.field("reason"));
    if (!reason.matches()) {
      return Optional.empty();
    }
    // The count of usable workers is omitted if it is 0.
    Matcher usable = USABLE.matcher(reason.group(4));
    return Optional.of(
        new LongWait(
            line.field("subject"),
            reason.group(2),
            Long.parseLong(reason.group(1)),
            Integer.parseInt(reason.group(3)) + 1,
            usable.find() ? Integer.parseInt(usable.group(1)) : 0));
  }
}
