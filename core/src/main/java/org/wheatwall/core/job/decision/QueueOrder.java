package org.wheatwall.core.job.decision;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.job.model.Job;
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

  // The keys are computed once a job, since a sort compares each job many times.
  private record Ordered(
      QueuedJob job,
      boolean urgent,
      boolean covered,
      boolean shaped,
      boolean starved,
      double rank) {
    private static final Comparator<Ordered> ORDER =
        (one, other) -> {
          int order = -Boolean.compare(one.urgent, other.urgent);
          order = order != 0 ? order : -Boolean.compare(one.covered, other.covered);
          order = order != 0 ? order : -Boolean.compare(one.shaped, other.shaped);
          order = order != 0 ? order : -Boolean.compare(one.starved, other.starved);
          order = order != 0 ? order : Double.compare(one.rank, other.rank);
          return order != 0 ? order : one.job.name().compareTo(other.job.name());
        };
  }

  /** Returns the waiting jobs in order; parts that are not read may not be sorted. */
  List<QueuedJob> sorted() {
    List<RankedJob> ranked = new ArrayList<>(state.waiting.size());
    for (QueuedJob job : state.waiting.values()) {
      ranked.add(ranked(job));
    }
    return shareOrder.isPresent() ? shareOrder.get().sorted(ranked) : byRank(ranked);
  }

  private List<QueuedJob> byRank(List<RankedJob> ranked) {
    List<Ordered> ordered =
        new LazySort<>(ranked.stream().map(this::ordered).toList(), Ordered.ORDER);
    return new AbstractList<>() {
      @Override
      public int size() {
        return ordered.size();
      }

      @Override
      public QueuedJob get(int index) {
        return ordered.get(index).job();
      }
    };
  }

  private Ordered ordered(RankedJob ranked) {
    QueuedJob queued = ranked.job();
    Job job = queued.job();
    return new Ordered(
        queued,
        job.urgent(),
        state.guarantees.covers(job),
        job.shape().isPresent(),
        isStarved(queued),
        ranked.rank());
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
