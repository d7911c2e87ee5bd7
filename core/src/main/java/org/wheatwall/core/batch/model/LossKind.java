package org.wheatwall.core.batch.model;

/** How a run was lost with its worker. */
public enum LossKind {
  /** The worker shut down as announced. */
  PLANNED_SHUTDOWN,
  /**
   * The worker may have crashed, but it had reported the run for a while, or it may have been
   * partitioned instead.
   */
  POSSIBLE_CRASH,
  /** The worker ended unannounced, without a response to the start. */
  UNANSWERED_START,
  /** The worker ended unannounced just after the run had started there. */
  CRASH_AT_START
}
