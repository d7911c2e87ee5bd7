package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Capacity that other work leaves free while urgent work arrives. Without the reserve, urgent work
 * would first have to stop other work, which takes time and loses work. Other work can wait as long
 * as its objective is not at risk: a job that must start now to meet its objective may use the
 * reserve, unless it will be late in any case.
 *
 * <p>The reserve is a share of the usable accelerators, and no job waits for it from which capacity
 * may not be withheld ({@link KeptCapacity}).
 */
final class UrgentReserve {
  // A job that would end later than this after its objective is late in any case. If all late work
  // used the reserve, it would be stopped for urgent work again and again.
  private static final int MAX_LATENESS_MS = 2000;
  private static final int MS_PER_SECOND = 1000;

  private static final int PERCENT = 100;

  private final int percent;
  private final ArrivalPredictor urgentArrivals = new ArrivalPredictor();
  private final JobObjectives objectives;

  /**
   * Creates a reserve.
   *
   * @param percent share of the usable accelerators that is kept free
   */
  UrgentReserve(int percent, JobObjectives objectives) {
    this.percent = percent;
    this.objectives = objectives;
  }

  /** Records that urgent work was submitted. */
  void recordUrgentArrival(long atMs) {
    urgentArrivals.recordArrival(atMs);
  }

  /** Returns whether a job must wait because it would use the reserve. */
  boolean mustWait(QueuedJob queued, Cluster cluster, long nowMs) {
    Job job = queued.job();
    boolean exempt = job.urgent() || job.shape().isPresent() || job.totalAccelerators() == 0;
    if (exempt
        || !urgentArrivals.isArrivalExpected(nowMs)
        || !KeptCapacity.mayBeWithheldFrom(job, cluster)) {
      return false;
    }
    int freeAfterStart = cluster.freeAccelerators() - job.totalAccelerators();
    int reserved = cluster.capacityInUse().usableAccelerators() * percent;
    return freeAfterStart * PERCENT < reserved && !mustStartNow(queued, nowMs);
  }

  private boolean mustStartNow(QueuedJob queued, long nowMs) {
    if (!objectives.hasObjective(queued)) {
      return false;
    }
    long dueMs = objectives.dueMs(queued);
    double endMs = nowMs + queued.expectedSeconds() * MS_PER_SECOND;
    return endMs >= dueMs && endMs < dueMs + MAX_LATENESS_MS;
  }
}
