package org.wheatwall.app.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts events and their longest duration, in total and by name. */
final class TallyTable {
  private static final int MAX_NAMED = 8;

  private final String title;
  private final Tally all = new Tally();
  private final Map<String, Tally> byName = new TreeMap<>();

  private static final class Tally {
    private int count;
    private long longestMs;

    private void add(long ms) {
      count++;
      longestMs = Math.max(longestMs, ms);
    }

    private String row(String name) {
      return String.format("%-40s %6d %10d", name, count, longestMs);
    }
  }

  TallyTable(String title) {
    this.title = title;
  }

  /** Counts one event under each of {@code names}; it took {@code ms} milliseconds. */
  void add(long ms, Collection<String> names) {
    all.add(ms);
    names.forEach(name -> byName.computeIfAbsent(name, key -> new Tally()).add(ms));
  }

  /** Returns a header, the total and the most frequent names, empty if there were no events. */
  List<String> rows() {
    if (all.count == 0) {
      return List.of();
    }
    List<String> rows = new ArrayList<>();
    rows.add(String.format("%-40s %6s %10s", title, "count", "longest ms"));
    rows.add(all.row("all"));
    byName.entrySet().stream()
        .sorted(Comparator.comparingInt(entry -> -entry.getValue().count))
        .limit(MAX_NAMED)
        .forEach(entry -> rows.add(entry.getValue().row(entry.getKey())));
    return rows;
  }
}
