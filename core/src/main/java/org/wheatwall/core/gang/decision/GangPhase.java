package org.wheatwall.core.gang.decision;

/** Phases of one attempt, from the decider's point of view. */
public enum GangPhase {
  /** Waits for the attempts to end whose resources this one needs. */
  WAITING_FOR_ROOM,
  /** Some worker has not reserved the resources of its part. */
  RESERVING,
  /** All workers have reserved; some has not started its part. */
  STARTING,
  /** Every part runs or has succeeded. */
  RUNNING,
  /** The parts save their state before they are stopped. */
  CHECKPOINTING,
  /** Every part is being stopped. */
  STOPPING,
  /** Every part has ended, or its lease has expired. */
  ENDED
}
