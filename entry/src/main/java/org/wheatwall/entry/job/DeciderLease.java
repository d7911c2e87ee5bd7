package org.wheatwall.entry.job;

/**
 * The right of a host to decide for its availability zone.
 *
 * @param epoch epoch of the view that gives it
 * @param untilMs monotonic time until which it holds
 * @param continuous whether this host was the decider of the view before, with none between
 * @param first whether the zone never had a view before
 */
record DeciderLease(long epoch, long untilMs, boolean continuous, boolean first) {}
