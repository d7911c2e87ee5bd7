package org.wheatwall.core.batch.model;

/** What is known of a run that was lost with its worker. */
public enum LossKind {
  /** The worker left, as it had given notice of. */
  PLANNED_SHUTDOWN,
  /**
   * The worker may have crashed: it was seen with the run for a while before, or it may as well
   * have been cut off.
   */
  POSSIBLE_CRASH,
  /** The worker ended without notice and without an answer to the start. */
  UNANSWERED_START,
  /** The worker ended without notice just after the run had begun there. */
  CRASH_AT_START
}
