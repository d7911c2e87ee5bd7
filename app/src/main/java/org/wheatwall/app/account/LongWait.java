package org.wheatwall.app.account;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a decider told of a group of tasks that had waited for long.
 *
 * @param kind kind of the reason for which it waited
 * @param waitedMs how long it had waited
 * @param alike groups that waited for the same, itself among them
 * @param usableWorkers workers that could be given work
 */
record LongWait(String group, String kind, long waitedMs, int alike, int usableWorkers) {
  private static final Pattern REASON =
      Pattern.compile(
          "for (\\d+) ms: ([A-Z_]+), .*; (\\d+) of \\d+ groups wait for the same; workers (.*)",
          Pattern.DOTALL);
  private static final Pattern USABLE = Pattern.compile("(\\d+) usable");

  /** Reads a line {@code GROUP_WAITS}; empty if its reason is not of the known form. */
  static Optional<LongWait> read(LogLine line) {
    Matcher reason = REASON.matcher(line.field("reason"));
    if (!reason.matches()) {
      return Optional.empty();
    }
    // A state that no worker is in is not named.
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
