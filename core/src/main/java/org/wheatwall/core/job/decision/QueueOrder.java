package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.job.policy.QueueRank;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * The order in which one pass considers the waiting jobs: urgent jobs first, of these the ones that
 * a guarantee covers, then jobs of guaranteed shapes, then starved ones, then by the policy's rank;
 * if capacity is divided between workspaces, by {@link ShareOrder} instead of the rank.
 */
final class QueueOrder {
  private final SchedulerState state;
  private final int starvationBoundMs;
  private final long nowMs;
  private final Optional<ShareOrder> shareOrder;

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
    this.shareOrder =
        state.division.map(division -> new ShareOrder(state, division, starvationBoundMs, nowMs));
  }

  /** Returns the waiting jobs in order. */
  List<QueuedJob> sorted() {
    List<RankedJob> ranked = new ArrayList<>(state.waiting.size());
    for (QueuedJob job : state.waiting.values()) {
      ranked.add(ranked(job));
    }
    if (shareOrder.isPresent()) {
      return shareOrder.get().sorted(ranked);
    }
    ranked.sort(
        Comparator.comparing((RankedJob entry) -> !entry.job().job().urgent())
            .thenComparing(entry -> !state.guarantees.covers(entry.job().job()))
            .thenComparing(entry -> entry.job().job().shape().isEmpty())
            .thenComparing(entry -> !isStarved(entry.job()))
            .thenComparingDouble(RankedJob::rank)
            .thenComparing(entry -> entry.job().name()));
    List<QueuedJob> jobs = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> jobs.add(entry.job()));
    return jobs;
  }

  /**
   * Returns whether a job has waited for longer than the starvation bound; with the division
   * between workspaces, only while its workspace is within its share.
   */
  boolean isStarved(QueuedJob job) {
    if (shareOrder.isPresent()) {
      return shareOrder.get().isStarved(job.name());
    }
    return nowMs - job.submittedAtMs() >= starvationBoundMs;
  }

  private RankedJob ranked(QueuedJob job) {
    try {
      QueueRank policy = state.policies.policyFor(job.job()).policy().rank();
      return new RankedJob(job, policy.rank(job, nowMs), policy.priorityClass(job));
    } catch (RuntimeException failure) {
      state.invalidProposals++;
      return new RankedJob(job, job.submittedAtMs(), 0);
    }
  }
}
