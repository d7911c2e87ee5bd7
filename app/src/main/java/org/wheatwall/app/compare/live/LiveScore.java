package org.wheatwall.app.compare.live;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Sums up the credit that the jobs of a live simulation earn. */
final class LiveScore {
  private static final double TOTAL_WEIGHT = 0.7;
  private static final double WORST_CLASS_WEIGHT = 0.15;
  private static final double WORST_WINDOWS_WEIGHT = 0.15;
  private static final double LOST_WORK_WEIGHT = 0.4;
  private static final int WINDOWS = 20;
  private static final int WORST_WINDOWS = 4;

  private final int lengthMs;
  private final Sum all = new Sum();
  private final Map<LiveKind, Sum> kinds = new EnumMap<>(LiveKind.class);
  private final Sum[] windows = sums(WINDOWS);
  private int unfinished;

  private static final class Sum {
    private double maxCredit;
    private double earnedCredit;
    private int jobs;
    private int jobsInTime;

    private void add(LiveKind kind, double credit, boolean inTime) {
      maxCredit += kind.credit();
      earnedCredit += credit;
      jobs++;
      jobsInTime += inTime ? 1 : 0;
    }

    private double share() {
      return maxCredit == 0 ? 1 : earnedCredit / maxCredit;
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

  /** Counts a job that ended at {@code endedMs}, negative if it did not end. */
  void add(LiveJob job, long endedMs) {
    boolean done = endedMs >= 0;
    boolean inTime = done && endedMs <= job.dueMs();
    unfinished += done ? 0 : 1;
    double lateCredit = done ? job.kind().lateCredit() : 0;
    double credit = inTime ? job.kind().credit() : lateCredit;
    all.add(job.kind(), credit, inTime);
    kinds.computeIfAbsent(job.kind(), kind -> new Sum()).add(job.kind(), credit, inTime);
    int window = (int) Math.min(WINDOWS - 1, job.arrivalMs() * WINDOWS / lengthMs);
    windows[window].add(job.kind(), credit, inTime);
  }

  /** Returns the result, completed with the values that are counted elsewhere. */
  LiveResult result(double lostWork, int stops, int refusals, double fragmentation, int breaches) {
    double weightedCredit =
        TOTAL_WEIGHT * all.share()
            + WORST_CLASS_WEIGHT * worstClass()
            + WORST_WINDOWS_WEIGHT * worstWindows();
    Sum live = kinds.getOrDefault(LiveKind.LIVE, new Sum());
    int others = all.jobs - live.jobs;
    return new LiveResult(
        weightedCredit - LOST_WORK_WEIGHT * lostWork,
        (double) live.jobsInTime / Math.max(1, live.jobs),
        (double) (all.jobsInTime - live.jobsInTime) / Math.max(1, others),
        lostWork,
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
