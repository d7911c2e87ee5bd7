package org.wheatwall.core.batch.decision;

/**
 * A decision of the supervisor, logged for operators.
 *
 * @param jobId the affected job, empty if none
 * @param subject the affected group of tasks or worker
 * @param reason the inputs of the decision
 */
public record RunEvent(Kind kind, String jobId, String subject, String reason) {
  /** Kinds of decisions. The constants are logged by name. */
  public enum Kind {
    GROUP_STARTED,
    GROUP_DONE,
    GROUP_INTERRUPTED,
    GROUP_FAILED,
    GROUP_WAITS,
    DECISION_FAILED,
    RUN_AWAITS_RESPONSES,
    RUN_STOPPING,
    RUN_HELD_UP,
    END_PASSED_OVER,
    TASK_FAILED,
    RUN_ADOPTED,
    JOB_PARTLY_RELEASED,
    JOB_ENDED,
    JOB_DROPPED,
    FIRST_DECISION,
    PERMITS_KNOWN,
    WORKER_LISTED,
    WORKER_HEARD,
    WORKER_UNLISTED,
    WORKER_UNREACHABLE,
    WORKER_REFUSES,
    WORKER_RESTARTED,
    WORKER_GONE,
    LEASES_STOPPED,
    WORKER_SLOW,
    WORKER_AT_SPEED,
    WORKER_PACE,
    WORKER_RUN_TIME_RATIO,
    WORKERS_UNEQUAL,
    WORKERS_EQUAL,
    STRAY_RUN
  }
}
