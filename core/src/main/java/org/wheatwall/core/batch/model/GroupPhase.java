package org.wheatwall.core.batch.model;

/** What the log says about a group of tasks. */
public enum GroupPhase {
  /** No run is under way; another may start. */
  WAITING,
  /** A run was intended; its tasks may be running, or may still start. */
  ACTIVE,
  /** Its tasks are done, for good. */
  DONE,
  /** It has failed as often as its job allows. */
  FAILED
}
