package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Adds up what the jobs of a live day earn. */
final class LiveScore {
  private static final double ALL = 0.7;
  private static final double CLASS = 0.15;
  private static final double WINDOW = 0.15;
  private static final double PRICE = 0.4;
  private static final int WINDOWS = 20;
  private static final int WORST_WINDOWS = 4;

  private final int lengthMs;
  private final Sum all = new Sum();
  private final Map<LiveKind, Sum> kinds = new EnumMap<>(LiveKind.class);
  private final Sum[] windows = sums(WINDOWS);
  private int unfinished;

  private static final class Sum {
    private double owed;
    private double earned;
    private int jobs;
    private int inTime;

    private void add(LiveKind kind, double credit, boolean timely) {
      owed += kind.credit();
      earned += credit;
      jobs++;
      inTime += timely ? 1 : 0;
    }

    private double share() {
      return owed == 0 ? 1 : earned / owed;
    }
  }

  LiveScore(int lengthMs) {
    this.lengthMs = lengthMs;
  }

  private static Sum[] sums(int count) {
    Sum[] sums = new Sum[count];
    for (int i = 0; i < count; i++) {
      sums[i] = new Sum();
    }
    return sums;
  }

  /** Counts a job that ended at {@code endedMs}, or did not if that is negative. */
  void add(LiveJob job, long endedMs) {
    boolean done = endedMs >= 0;
    boolean timely = done && endedMs <= job.dueMs();
    unfinished += done ? 0 : 1;
    double late = done ? job.kind().lateCredit() : 0;
    double credit = timely ? job.kind().credit() : late;
    all.add(job.kind(), credit, timely);
    kinds.computeIfAbsent(job.kind(), kind -> new Sum()).add(job.kind(), credit, timely);
    int window = (int) Math.min(WINDOWS - 1, job.arrivesMs() * WINDOWS / lengthMs);
    windows[window].add(job.kind(), credit, timely);
  }

  /** Returns the result, given what was counted elsewhere. */
  LiveResult result(
      double thrownAway, int stops, int refusals, double fragmentation, int breaches) {
    double views = ALL * all.share() + CLASS * worstClass() + WINDOW * worstWindows();
    Sum live = kinds.getOrDefault(LiveKind.LIVE, new Sum());
    int others = all.jobs - live.jobs;
    return new LiveResult(
        views - PRICE * thrownAway,
        (double) live.inTime / Math.max(1, live.jobs),
        (double) (all.inTime - live.inTime) / Math.max(1, others),
        thrownAway,
        stops,
        refusals,
        fragmentation,
        breaches,
        unfinished);
  }

  private double worstClass() {
    double worst = 1;
    for (Sum kind : kinds.values()) {
      worst = Math.min(worst, kind.share());
    }
    return worst;
  }

  private double worstWindows() {
    List<Double> shares = new ArrayList<>();
    for (Sum window : windows) {
      shares.add(window.share());
    }
    return shares.stream().sorted().limit(WORST_WINDOWS).mapToDouble(d -> d).average().orElse(1);
  }
}
