package org.wheatwall.entry.request;

/** How the request that held a slot ended. */
enum SlotOutcome {
  /** The runner answered without an error, or was never sent the request. */
  DONE,
  /** The runner answered with an error, or could not be reached. */
  FAILED,
  /** The request was sent without a complete response: the runner may still be processing it. */
  LOST
}
