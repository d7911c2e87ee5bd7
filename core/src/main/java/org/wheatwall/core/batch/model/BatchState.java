package org.wheatwall.core.batch.model;

/** State of a batch job, as its submitter sees it. */
public enum BatchState {
  QUEUED,
  RUNNING,
  SUCCEEDED,
  FAILED,
  CANCELLED;

  /** Returns whether the job has ended. */
  public boolean ended() {
    return this != QUEUED && this != RUNNING;
  }
}
