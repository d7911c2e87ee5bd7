package org.wheatwall.core.job.model;

/**
 * Why a job is not running.
 *
 * @param detail what is missing, and which hosts come closest
 */
public record WaitReason(Kind kind, String detail) {
  /** Kinds of reason. */
  public enum Kind {
    /** Other jobs go first. */
    QUEUED,
    /** Enough capacity exists but is in use. */
    NO_FREE_CAPACITY,
    /** The room that it would take is kept for urgent work. */
    KEPT_FOR_URGENT_WORK,
    /** The room that it would take is kept for a job that goes before it. */
    KEPT_FOR_EARLIER_JOB,
    /** No set of hosts in the zone could ever hold the gang. */
    NEVER_FITS,
    /** The workspace holds its whole quota. */
    QUOTA,
    /** Its guaranteed shape is unknown, too small, or in use by another job. */
    SHAPE_IN_USE,
    /** Running work is being checkpointed to make room. */
    RECLAIMING,
    /** Starting would make another workspace's guarantee impossible to reclaim. */
    WOULD_BREAK_GUARANTEE,
    /** An earlier attempt may still be running on a host that does not answer. */
    WAITING_FOR_LEASE
  }
}
