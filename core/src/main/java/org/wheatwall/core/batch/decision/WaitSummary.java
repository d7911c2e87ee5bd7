package org.wheatwall.core.batch.decision;

/**
 * The waiting groups and the available workers at one point in time.
 *
 * @param groups number of groups of tasks that are due and have no run
 * @param longestMs longest wait of these groups, milliseconds; 0 if none waits
 * @param usableWorkers number of workers that can receive new work
 * @param listedWorkers number of workers that the platform lists
 */
public record WaitSummary(int groups, long longestMs, int usableWorkers, int listedWorkers) {
  /** No waiting groups and no workers. */
  public static final WaitSummary NONE = new WaitSummary(0, 0, 0, 0);
}
