package org.wheatwall.app.soak;

import org.wheatwall.core.common.Names;

/**
 * The load and the processors of the hosts under test.
 *
 * @param jobsPerSecond rate at which jobs are submitted whether or not earlier ones have ended, in
 *     addition to those of the callers that wait for theirs; 0 for none
 * @param processorPercent percentage of a processor that each host may use; 100 for no limit
 */
record OperatingConditions(double jobsPerSecond, int processorPercent) {
  static final int UNLIMITED_PERCENT = 100;

  /** A few callers, and processors that are limited by the machine only. */
  static final OperatingConditions DEFAULT = new OperatingConditions(0, UNLIMITED_PERCENT);

  private static final int MIN_PROCESSOR_PERCENT = 10;
  private static final int MAX_JOBS_PER_SECOND = 100;

  /** Validates the ranges. */
  OperatingConditions {
    if (!(jobsPerSecond >= 0 && jobsPerSecond <= MAX_JOBS_PER_SECOND)) {
      throw new IllegalArgumentException("jobsPerSecond must be 0 to " + MAX_JOBS_PER_SECOND);
    }
    Names.requireRange(
        "processorPercent", processorPercent, MIN_PROCESSOR_PERCENT, UNLIMITED_PERCENT);
  }

  boolean limitsProcessors() {
    return processorPercent < UNLIMITED_PERCENT;
  }

  boolean hasOpenLoad() {
    return jobsPerSecond > 0;
  }
}
