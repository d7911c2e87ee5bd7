package org.wheatwall.core.batch.model;

/** How a run of a task ended on its worker. */
public enum EndKind {
  /** It finished its work. */
  DONE,
  /** It failed, by its own fault or its worker's. */
  FAILED,
  /** It was told to stop. */
  STOPPED,
  /** Its lease ran out. */
  LAPSED,
  /** Another task of its gang ended. */
  BROKEN,
  /** It waited for the rest of its gang in vain. */
  ALONE
}
