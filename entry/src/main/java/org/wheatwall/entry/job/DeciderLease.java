package org.wheatwall.entry.job;

/**
 * The right of a host to decide for its availability zone.
 *
 * @param epoch epoch of the view that grants the right
 * @param untilMs monotonic time at which the right expires, milliseconds
 * @param continuous whether this host was also the decider of the directly preceding view
 * @param first whether this is the first view of the zone
 */
record DeciderLease(long epoch, long untilMs, boolean continuous, boolean first) {}
