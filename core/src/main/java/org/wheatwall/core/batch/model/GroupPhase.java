package org.wheatwall.core.batch.model;

/** Phase of a group of tasks, as recorded in the job log. */
public enum GroupPhase {
  /** No run is active; a run may start. */
  WAITING,
  /** A run was recorded; its tasks may be running or may still start. */
  ACTIVE,
  /** Its tasks are done; no further run starts. */
  DONE,
  /** It has failed as often as its job allows; no further run starts. */
  FAILED
}
