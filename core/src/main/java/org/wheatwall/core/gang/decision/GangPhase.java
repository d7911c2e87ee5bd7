package org.wheatwall.core.gang.decision;

/** Stages of one attempt, as its decider sees it. */
public enum GangPhase {
  /** Victims have not all ended. */
  WAITING_FOR_ROOM,
  /** Some worker has not reserved. */
  RESERVING,
  /** All have reserved; some worker has not started. */
  STARTING,
  /** Every part runs or has succeeded. */
  RUNNING,
  /** The parts save their state before they are stopped. */
  CHECKPOINTING,
  /** Every part is to end. */
  STOPPING,
  /** Every part has ended, or its lease has lapsed. */
  ENDED
}
