package org.wheatwall.app.soak;

/** A fault that a soak puts in on purpose, to show that it would be found. */
enum Sabotage {
  /** The record of an accepted job is dropped from the log. */
  LOSE_JOB(Promise.ACCEPTED_IS_KEPT),
  /** A task is started a second time elsewhere. */
  RUN_TWICE(Promise.NEVER_TWICE),
  /** A task of a job that was refused is started. */
  RUN_REFUSED(Promise.REFUSED_NEVER_RUNS),
  /** A task is started some time after its job was cancelled. */
  START_CANCELLED(Promise.CANCELLED_STARTS_NOTHING),
  /** A host is put back to an older configuration. */
  OLDER_CONFIGURATION(Promise.CONFIGURATION_NEVER_BACK),
  /** A process that stops as planned is killed while it answers. */
  CUT_PLANNED_STOP(Promise.PLANNED_STOP_CUTS_NOTHING),
  /** No worker answers any more. */
  DEAF_WORKERS(Promise.RECOVERS);

  private final Promise broken;

  Sabotage(Promise broken) {
    this.broken = broken;
  }

  /** Returns the promise that it breaks. */
  Promise broken() {
    return broken;
  }
}
