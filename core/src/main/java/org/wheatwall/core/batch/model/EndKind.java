package org.wheatwall.core.batch.model;

/** How a run of a task ended on its worker. */
public enum EndKind {
  /** The task finished its work. */
  DONE,
  /** The task failed, by a fault of its own or of its worker. */
  FAILED,
  /** The task was stopped by a command. */
  STOPPED,
  /** The task's lease expired. */
  LAPSED,
  /** Another task of the gang ended. */
  BROKEN,
  /** The rest of the task's gang did not start in time. */
  ALONE
}
