package org.wheatwall.core.job.decision;

/** How an attempt ended. */
public enum EndReason {
  /** Every task succeeded. */
  SUCCEEDED,
  /** A task failed by itself. */
  FAILED,
  /** It was stopped to make room, or a part of it could not start or was lost. */
  INTERRUPTED
}
