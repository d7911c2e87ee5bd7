package org.wheatwall.core.job.policy;

import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/**
 * A scheduling policy: the queue order, the placement rule and the backfill rule. It only proposes;
 * guarantees, quotas and the atomic placement of gangs are enforced by the scheduler.
 *
 * @param rank order of the queue
 * @param placement how hosts are chosen for a gang
 * @param backfill which jobs may overtake one that waits for free capacity
 */
public record SchedulingPolicy(QueueRank rank, PlacementRule placement, Backfill backfill) {
  /** Returns this policy without the parts that depend on disabled mechanisms. */
  public SchedulingPolicy limitedTo(Mechanisms mechanisms) {
    boolean mayPackRacks =
        mechanisms.isEnabled(Mechanism.RACK_PACKING) || !(placement instanceof RackPacking);
    boolean mayReserve =
        mechanisms.isEnabled(Mechanism.FIRST_JOB_ROOM) || backfill != Backfill.RESERVING;
    return new SchedulingPolicy(
        rank, mayPackRacks ? placement : new BestFit(), mayReserve ? backfill : Backfill.GREEDY);
  }
}
