package org.wheatwall.core.job.policy;

import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/**
 * A scheduling policy: the order of the queue, the place of a gang, and what may overtake. It only
 * proposes; guarantees, quotas and whole gangs are enforced outside it.
 *
 * @param rank order of the queue
 * @param placement place of a gang
 * @param backfill what may overtake a job that waits for room
 */
public record SchedulingPolicy(QueueRank rank, PlacementRule placement, Backfill backfill) {
  /** Returns this policy without what is switched off. */
  public SchedulingPolicy limitedTo(Mechanisms mechanisms) {
    boolean packs =
        mechanisms.isEnabled(Mechanism.RACK_PACKING) || !(placement instanceof RackPacking);
    boolean reserves =
        mechanisms.isEnabled(Mechanism.FIRST_JOB_ROOM) || backfill != Backfill.RESERVING;
    return new SchedulingPolicy(
        rank, packs ? placement : new BestFit(), reserves ? backfill : Backfill.GREEDY);
  }
}
