package org.wheatwall.core.job.model;

/**
 * Reason why a job is not running.
 *
 * @param detail what is missing, and which hosts come closest to providing it
 */
public record WaitReason(Kind kind, String detail) {
  /** Kinds of reason. */
  public enum Kind {
    /** The job is queued behind others. */
    QUEUED,
    /** Enough capacity exists but is in use. */
    NO_FREE_CAPACITY,
    /** It would be late on the hosts that are free, and faster ones are expected to be in time. */
    FASTER_HOSTS_EXPECTED,
    /** The free capacity that it needs is reserved for urgent work. */
    KEPT_FOR_URGENT_WORK,
    /** The free capacity that it needs is reserved for an earlier job. */
    KEPT_FOR_EARLIER_JOB,
    /** The gang would not fit into the zone even if all hosts were empty. */
    NEVER_FITS,
    /** The job would exceed the quota of its workspace. */
    QUOTA,
    /** Its guaranteed shape is unknown, too small, or in use by another job. */
    SHAPE_IN_USE,
    /** Running work is being checkpointed to free capacity. */
    RECLAIMING,
    /** Starting it would occupy capacity that a guaranteed shape needs. */
    WOULD_BREAK_GUARANTEE,
    /** An earlier attempt may still be running on a host that does not respond. */
    WAITING_FOR_LEASE
  }
}
