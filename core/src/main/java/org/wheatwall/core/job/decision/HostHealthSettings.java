package org.wheatwall.core.job.decision;

import org.wheatwall.core.common.Names;

/**
 * Settings for the quarantine of failing worker hosts.
 *
 * @param failures consecutive failed attempts, of different jobs, that quarantine a host
 * @param firstQuarantineMs duration of the first quarantine, milliseconds; doubled each time
 * @param longestQuarantineMs maximum duration of a quarantine, milliseconds
 * @param probationMs how long a released host gets only single tasks, milliseconds
 */
public record HostHealthSettings(
    int failures, int firstQuarantineMs, int longestQuarantineMs, int probationMs) {
  /** Settings for jobs that run for hours: quarantines of 30 seconds to one hour. */
  public static final HostHealthSettings DEFAULT =
      new HostHealthSettings(3, 30_000, 3_600_000, 30_000);

  /**
   * Settings for jobs that run for seconds: a failing host is probed after about the length of one
   * such job. Quarantine at the first failure showed no benefit, because many tasks fail by a fault
   * of their own.
   */
  public static final HostHealthSettings SHORT_JOBS = new HostHealthSettings(3, 4000, 60_000, 0);

  /** Validates. */
  public HostHealthSettings {
    Names.requireRange("failures", failures, 1, 1000);
    Names.requireRange("firstQuarantineMs", firstQuarantineMs, 1, Integer.MAX_VALUE);
    Names.requireRange("longestQuarantineMs", longestQuarantineMs, 1, Integer.MAX_VALUE);
    Names.requireRange("probationMs", probationMs, 0, Integer.MAX_VALUE);
  }
}
