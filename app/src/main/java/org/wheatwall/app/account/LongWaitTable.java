package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Groups of tasks that waited for long, by kind of reason. Deciders name only some of the groups
 * that wait for the same, so the most that did at once are told beside them.
 */
final class LongWaitTable {
  private final Map<String, Row> rowsByKind = new TreeMap<>();
  private int unknown;

  private static final class Row {
    private final Set<String> groups = new HashSet<>();
    private int mostAtOnce;
    private long longestMs;
    private int fewestUsable = Integer.MAX_VALUE;

    private void add(LongWait wait) {
      groups.add(wait.group());
      mostAtOnce = Math.max(mostAtOnce, wait.alike());
      longestMs = Math.max(longestMs, wait.waitedMs());
      fewestUsable = Math.min(fewestUsable, wait.usableWorkers());
    }

    private String text(String kind) {
      return String.format(
          "%-40s %6d %10d %10d %14d", kind, groups.size(), mostAtOnce, longestMs, fewestUsable);
    }
  }

  /** Takes in a line {@code GROUP_WAITS}. */
  void add(LogLine line) {
    LongWait.read(line)
        .ifPresentOrElse(
            wait -> rowsByKind.computeIfAbsent(wait.kind(), kind -> new Row()).add(wait),
            () -> unknown++);
  }

  /** Returns a heading and a row a kind of reason; nothing if no group waited for long. */
  List<String> rows() {
    List<String> rows = new ArrayList<>();
    if (!rowsByKind.isEmpty()) {
      rows.add(
          String.format(
              "%-40s %6s %10s %10s %14s",
              "groups that waited for long", "groups", "at once", "longest ms", "fewest workers"));
    }
    rowsByKind.forEach((kind, row) -> rows.add(row.text(kind)));
    if (unknown > 0) {
      rows.add(unknown + " lines GROUP_WAITS have a reason of another form");
    }
    return rows;
  }
}
