package org.wheatwall.entry.request;

/** How the request that held a slot ended. */
enum SlotOutcome {
  /** The runner answered well, or never got the request. */
  DONE,
  /** The runner answered with an error, or could not be reached. */
  FAILED,
  /** The request left and no whole answer came: the runner may still be at work on it. */
  LOST
}
