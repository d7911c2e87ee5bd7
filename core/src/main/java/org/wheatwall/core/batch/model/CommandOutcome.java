package org.wheatwall.core.batch.model;

/** What became of an order to a worker. */
public enum CommandOutcome {
  /** It was carried out, or had been before. */
  DONE,
  /** The worker has no room for it; nothing was done. */
  NO_ROOM,
  /** The worker has seen a higher fencing token; nothing was done. */
  FENCED,
  /** That run, or a later one, has been stopped or has ended there. */
  OLD_RUN,
  /** The order carried no permit for the step that still holds; nothing was done. */
  NO_PERMIT,
  /** The order's lease had run out when it arrived; nothing was done. */
  TOO_LATE,
  /** The worker refused it for another reason; nothing was done. */
  NOT_DONE,
  /** No connection to the worker could be made; nothing was done. */
  NOT_REACHED,
  /** Another life of the worker answered: the one that was meant is gone. */
  WORKER_GONE,
  /** No answer came: it may have been carried out, or may be later. */
  UNKNOWN
}
