package org.wheatwall.core.job.decision;

import org.wheatwall.core.common.Names;

/**
 * When a worker host counts as failing, and for how long it is then out of use.
 *
 * @param failures consecutive failed attempts, of different jobs, after which a host is out
 * @param firstQuarantineMs how long it is out the first time, milliseconds; doubled each time
 * @param longestQuarantineMs bound of the doubling, milliseconds
 * @param probationMs how long a host that is back gets single tasks only, milliseconds
 */
public record HostHealthSettings(
    int failures, int firstQuarantineMs, int longestQuarantineMs, int probationMs) {
  /** For jobs of hours: half a minute first, an hour at most. */
  public static final HostHealthSettings DEFAULT =
      new HostHealthSettings(3, 30_000, 3_600_000, 30_000);

  /**
   * For jobs of seconds: a host that fails is tried again after about one such job. Out with the
   * first failure was not shown to be better: many tasks fail by their own fault.
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
