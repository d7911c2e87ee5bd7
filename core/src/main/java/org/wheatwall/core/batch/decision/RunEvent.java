package org.wheatwall.core.batch.decision;

/**
 * A decision about a job, for operators.
 *
 * @param jobId job that it is about, empty if none
 * @param subject group of tasks or worker
 * @param reason inputs that decided it
 */
public record RunEvent(Kind kind, String jobId, String subject, String reason) {
  /** Kinds of decisions. */
  public enum Kind {
    GROUP_STARTED,
    GROUP_DONE,
    GROUP_INTERRUPTED,
    GROUP_FAILED,
    GROUP_WAITS,
    DECISION_FAILED,
    RUN_STOPPING,
    RUN_HELD_UP,
    END_PASSED_OVER,
    TASK_FAILED,
    RUN_ADOPTED,
    JOB_ENDED,
    FIRST_DECISION,
    PERMITS_KNOWN,
    WORKER_LISTED,
    WORKER_HEARD,
    WORKER_UNLISTED,
    WORKER_UNREACHABLE,
    WORKER_REFUSES,
    WORKER_RESTARTED,
    WORKER_GONE,
    WORKER_SLOW,
    WORKER_AT_SPEED,
    WORKER_PACE,
    STRAY_RUN
  }
}
