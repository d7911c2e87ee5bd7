package org.wheatwall.app.soak;

/** What must hold in every run, seen from callers and workers. */
enum Invariant {
  /** A job that was accepted succeeds, unless it is cancelled, and is never said not to exist. */
  ACCEPTED_IS_KEPT,
  /** A job whose every attempt was refused never runs. */
  REFUSED_NEVER_RUNS,
  /** No task runs twice at once, or again after its end was acknowledged. */
  NEVER_TWICE,
  /** Nothing of a job starts later than a bound after its cancellation was acknowledged. */
  CANCELLED_STARTS_NOTHING,
  /** Within the life of a process the configuration never goes back. */
  CONFIGURATION_NEVER_BACK,
  /** A calm host acts on a configuration within a bound. */
  CONFIGURATION_IN_FORCE,
  /** A planned stop answers whatever it has read. */
  PLANNED_STOP_CUTS_NOTHING,
  /** A caller with a known key and an existing queue is never told otherwise. */
  CALLER_IS_KNOWN,
  /** Some time after the last disturbance a small job succeeds again. */
  RECOVERS,
  /**
   * Some time after that no accepted job has nothing running for 3 s beside twice the room that it
   * needs, while less than half of all room is in use.
   */
  STARTS_WHERE_ROOM_IS
}
