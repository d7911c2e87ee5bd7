package org.wheatwall.app.soak;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

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
  DEAF_WORKERS(Promise.RECOVERS, Promise.STARTS_WHERE_ROOM_IS);

  private final Promise broken;
  private final Optional<Promise> brokenLater;

  Sabotage(Promise broken) {
    this.broken = broken;
    this.brokenLater = Optional.empty();
  }

  Sabotage(Promise broken, Promise brokenLater) {
    this.broken = broken;
    this.brokenLater = Optional.of(brokenLater);
  }

  /** Returns the promises that it breaks. */
  List<Promise> broken() {
    return Stream.concat(Stream.of(broken), brokenLater.stream()).toList();
  }
}
