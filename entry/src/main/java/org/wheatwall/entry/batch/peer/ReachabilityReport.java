package org.wheatwall.entry.batch.peer;

import org.wheatwall.core.common.Names;

/**
 * How many of the workers that it was asked about a host reaches.
 *
 * @param reachableWorkers number of workers
 * @param claimDelayMs how much longer than others the host waits before it claims a free term,
 *     milliseconds; longer for less powerful hosts
 */
public record ReachabilityReport(int reachableWorkers, int claimDelayMs) {
  /** Validates. */
  public ReachabilityReport {
    Names.requireRange("reachableWorkers", reachableWorkers, 0, Integer.MAX_VALUE);
    Names.requireRange("claimDelayMs", claimDelayMs, 0, Integer.MAX_VALUE);
  }
}
