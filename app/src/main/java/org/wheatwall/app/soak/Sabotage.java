package org.wheatwall.app.soak;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** A fault that a soak injects to verify that its checks detect it. */
enum Sabotage {
  /** The record of an accepted job is dropped from the log. */
  LOSE_JOB(Invariant.ACCEPTED_IS_KEPT),
  /** A task is started a second time elsewhere. */
  RUN_TWICE(Invariant.NEVER_TWICE),
  /** A task of a job that was refused is started. */
  RUN_REFUSED(Invariant.REFUSED_NEVER_RUNS),
  /** A task is started some time after its job was cancelled. */
  START_CANCELLED(Invariant.CANCELLED_STARTS_NOTHING),
  /** A host is restarted with an older configuration. */
  OLDER_CONFIGURATION(Invariant.CONFIGURATION_NEVER_BACK),
  /** A process that shuts down gracefully is killed before it has responded. */
  CUT_PLANNED_STOP(Invariant.PLANNED_STOP_CUTS_NOTHING),
  /** No worker responds any more. */
  DEAF_WORKERS(Invariant.RECOVERS, Invariant.STARTS_WHERE_ROOM_IS);

  private final Invariant violated;
  private final Optional<Invariant> alsoViolated;

  Sabotage(Invariant broken) {
    this.violated = broken;
    this.alsoViolated = Optional.empty();
  }

  Sabotage(Invariant broken, Invariant brokenLater) {
    this.violated = broken;
    this.alsoViolated = Optional.of(brokenLater);
  }

  /** Returns the invariants that the fault violates. */
  List<Invariant> violated() {
    return Stream.concat(Stream.of(violated), alsoViolated.stream()).toList();
  }
}
