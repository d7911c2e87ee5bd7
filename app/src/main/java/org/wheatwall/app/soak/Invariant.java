package org.wheatwall.app.soak;

/** Invariants of every run, as observed by callers and workers. */
enum Invariant {
  /** An accepted job succeeds, unless it is cancelled, and is never reported as nonexistent. */
  ACCEPTED_IS_KEPT,
  /** A job whose every attempt was refused never runs. */
  REFUSED_NEVER_RUNS,
  /** No task runs twice concurrently, or again after its end was acknowledged. */
  NEVER_TWICE,
  /** No task of a job starts later than a limit after its cancellation was acknowledged. */
  CANCELLED_STARTS_NOTHING,
  /** A task of a cancelled job is stopped within a limit, also if a worker started it late. */
  CANCELLED_IS_SWEPT,
  /** A process never returns to an older configuration. */
  CONFIGURATION_NEVER_BACK,
  /** An undisturbed host acts on a published configuration within a time limit. */
  CONFIGURATION_IN_FORCE,
  /** A host that shuts down gracefully responds to every request that it has read. */
  PLANNED_STOP_CUTS_NOTHING,
  /** A caller with a valid key and an existing queue is never refused as unknown. */
  CALLER_IS_KNOWN,
  /** A small job succeeds within a time limit after the last disturbance. */
  RECOVERS,
  /**
   * Once the cluster has settled, no accepted job is without a running task for 3 s while twice the
   * capacity that it needs is free and less than half of the total capacity is in use.
   */
  STARTS_WHERE_ROOM_IS,
  /** No process ends unless it was stopped or killed. */
  PROCESSES_KEEP_RUNNING,
  /** Every call ends, at the latest with the caller's time limit. */
  CALLS_END
}
