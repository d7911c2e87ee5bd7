package org.wheatwall.core.batch.decision;

/**
 * How many groups wait, and which workers there are for them, at one moment.
 *
 * @param groups groups of tasks that are due and have no run
 * @param longestMs how long the one that waits longest has waited, milliseconds; 0 if none waits
 * @param usableWorkers workers to which new work may go
 * @param listedWorkers workers that the platform lists
 */
public record WaitSummary(int groups, long longestMs, int usableWorkers, int listedWorkers) {
  /** Nothing waits, and no worker is known. */
  public static final WaitSummary NONE = new WaitSummary(0, 0, 0, 0);
}
