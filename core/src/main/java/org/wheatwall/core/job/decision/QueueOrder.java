package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * The order in which one pass considers the waiting jobs: urgent jobs first, of these the ones that
 * a guarantee covers, then jobs of guaranteed shapes, then starved ones, then by the policy's rank.
 */
final class QueueOrder {
  private final SchedulerState state;
  private final int starvationBoundMs;
  private final long nowMs;

  /**
   * Creates the order of a pass.
   *
   * @param starvationBoundMs waiting time after which a job counts as starved, milliseconds
   * @param nowMs time of the pass, milliseconds
   */
  QueueOrder(SchedulerState state, int starvationBoundMs, long nowMs) {
    this.state = state;
    this.starvationBoundMs = starvationBoundMs;
    this.nowMs = nowMs;
  }

  private record Ranked(QueuedJob job, double rank) {}

  /** Returns the waiting jobs in order. */
  List<QueuedJob> sorted() {
    List<Ranked> ranked = new ArrayList<>(state.waiting.size());
    for (QueuedJob job : state.waiting.values()) {
      ranked.add(new Ranked(job, rank(job)));
    }
    ranked.sort(
        Comparator.comparing((Ranked entry) -> !entry.job().job().urgent())
            .thenComparing(entry -> !state.guarantees.covers(entry.job().job()))
            .thenComparing(entry -> entry.job().job().shape().isEmpty())
            .thenComparing(entry -> !isStarved(entry.job()))
            .thenComparingDouble(Ranked::rank)
            .thenComparing(entry -> entry.job().name()));
    List<QueuedJob> jobs = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> jobs.add(entry.job()));
    return jobs;
  }

  /** Returns whether a job has waited for longer than the starvation bound. */
  boolean isStarved(QueuedJob job) {
    return nowMs - job.submittedAtMs() >= starvationBoundMs;
  }

  private double rank(QueuedJob job) {
    try {
      return state.policies.policyFor(job.job()).policy().rank().rank(job, nowMs);
    } catch (RuntimeException failure) {
      state.invalidProposals++;
      return job.submittedAtMs();
    }
  }
}
