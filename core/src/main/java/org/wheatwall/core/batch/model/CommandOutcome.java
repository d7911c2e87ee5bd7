package org.wheatwall.core.batch.model;

/** Outcome of a command to a worker. */
public enum CommandOutcome {
  /** The command was executed, now or earlier. */
  DONE,
  /** The worker lacks free capacity; nothing was done. */
  NO_ROOM,
  /** The worker has seen a higher fencing token; nothing was done. */
  FENCED,
  /** The run, or a later one, was stopped or has ended on the worker; nothing was done. */
  OLD_RUN,
  /** The command carried no valid permit for the step; nothing was done. */
  NO_PERMIT,
  /** The command's lease had expired on arrival; nothing was done. */
  TOO_LATE,
  /** The worker refused the command for another reason; nothing was done. */
  NOT_DONE,
  /** No connection to the worker could be established; nothing was done. */
  NOT_REACHED,
  /** Another incarnation of the worker responded; the addressed one has ended. */
  WORKER_GONE,
  /** No response arrived; the command may have been executed or may still be. */
  UNKNOWN
}
