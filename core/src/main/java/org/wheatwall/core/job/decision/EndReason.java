package org.wheatwall.core.job.decision;

/** How an attempt ended. */
public enum EndReason {
  /** Every task succeeded. */
  SUCCEEDED,
  /** A task failed. */
  FAILED,
  /** The attempt was stopped to free capacity, or a task could not start or was lost. */
  INTERRUPTED
}
