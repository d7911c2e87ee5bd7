package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.policy.QueuedJob;

/** Reserves a fixed share of the usable accelerators while urgent work arrives. */
final class FixedShareReserve implements ReservedCapacity {
  private static final int PERCENT = 100;

  private final int percent;
  private final ArrivalPredictor arrivals = new ArrivalPredictor();

  /**
   * Creates a reserve.
   *
   * @param percent share of the usable accelerators
   */
  FixedShareReserve(int percent) {
    this.percent = percent;
  }

  @Override
  public void recordUrgentArrival(QueuedJob urgent) {
    arrivals.recordArrival(urgent.submittedAtMs());
  }

  // Rounded up, so that the free accelerators are never below the share.
  @Override
  public int accelerators(Cluster cluster, long nowMs) {
    int usable = cluster.capacityInUse().usableAccelerators();
    return arrivals.isArrivalExpected(nowMs) ? (usable * percent + PERCENT - 1) / PERCENT : 0;
  }
}
