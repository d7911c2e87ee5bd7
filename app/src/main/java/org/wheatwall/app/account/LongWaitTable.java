package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Groups of tasks with long waits, by kind of reason. Deciders log only some of the groups that
 * wait for the same reason, so the table also shows the largest number that waited at once.
 */
final class LongWaitTable {
  private final Map<String, Row> rowsByKind = new TreeMap<>();
  private int unknownFormat;

  private static final class Row {
    private final Set<String> groups = new HashSet<>();
    private int maxAtOnce;
    private long longestMs;
    private int minUsable = Integer.MAX_VALUE;

    private void add(LongWait wait) {
      groups.add(wait.group());
      maxAtOnce = Math.max(maxAtOnce, wait.groupsWithSameReason());
      longestMs = Math.max(longestMs, wait.waitedMs());
      minUsable = Math.min(minUsable, wait.usableWorkers());
    }

    private String text(String kind) {
      return String.format(
          "%-40s %6d %10d %10d %14d", kind, groups.size(), maxAtOnce, longestMs, minUsable);
    }
  }

  /** Adds a {@code GROUP_WAITS} line. */
  void add(LogLine line) {
    LongWait.read(line)
        .ifPresentOrElse(
            wait -> rowsByKind.computeIfAbsent(wait.kind(), kind -> new Row()).add(wait),
            () -> unknownFormat++);
  }

  /** Returns a header and one row per kind of reason, empty if there was no long wait. */
  List<String> rows() {
    List<String> rows = new ArrayList<>();
    if (!rowsByKind.isEmpty()) {
      rows.add(
          String.format(
              "%-40s %6s %10s %10s %14s",
              "groups that waited for long", "groups", "at once", "longest ms", "fewest workers"));
    }
    rowsByKind.forEach((kind, row) -> rows.add(row.text(kind)));
    if (unknownFormat > 0) {
      rows.add(unknownFormat + " lines GROUP_WAITS have a reason of another form");
    }
    return rows;
  }
}
