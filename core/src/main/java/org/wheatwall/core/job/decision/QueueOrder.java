package org.wheatwall.core.job.decision;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wheatwall.core.job.model.Job;
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

  // The keys are computed once a job, since a sort compares each job many times.
  private record Ranked(
      QueuedJob job,
      boolean urgent,
      boolean covered,
      boolean shaped,
      boolean starved,
      double rank) {
    private static final Comparator<Ranked> ORDER =
        (one, other) -> {
          int order = -Boolean.compare(one.urgent, other.urgent);
          order = order != 0 ? order : -Boolean.compare(one.covered, other.covered);
          order = order != 0 ? order : -Boolean.compare(one.shaped, other.shaped);
          order = order != 0 ? order : -Boolean.compare(one.starved, other.starved);
          order = order != 0 ? order : Double.compare(one.rank, other.rank);
          return order != 0 ? order : one.job.name().compareTo(other.job.name());
        };
  }

  /** Returns the waiting jobs in order; parts that are not read are not sorted. */
  List<QueuedJob> sorted() {
    List<Ranked> ranked = new ArrayList<>(state.waiting.size());
    for (QueuedJob queued : state.waiting.values()) {
      Job job = queued.job();
      ranked.add(
          new Ranked(
              queued,
              job.urgent(),
              state.guarantees.covers(job),
              job.shape().isPresent(),
              isStarved(queued),
              rank(queued)));
    }
    List<Ranked> ordered = new LazySort<>(ranked, Ranked.ORDER);
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
