package org.wheatwall.core.job.policy;

/**
 * A scheduling policy: the order of the queue, the place of a gang, and what may overtake. It only
 * proposes; guarantees, quotas and whole gangs are enforced outside it.
 *
 * @param rank order of the queue
 * @param placement place of a gang
 * @param backfill what may overtake a job that waits for room
 */
public record SchedulingPolicy(QueueRank rank, PlacementRule placement, Backfill backfill) {}
