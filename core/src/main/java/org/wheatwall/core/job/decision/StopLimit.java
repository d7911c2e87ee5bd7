package org.wheatwall.core.job.decision;

import java.util.Map;

/**
 * Bounds how often the same job is stopped for others: a job that was stopped {@value #MAX_STOPS}
 * times is stopped again only if no other work than urgent work can be stopped instead. The counts
 * are lost when the decider changes.
 */
final class StopLimit {
  /** Number of stops after which a job is protected. */
  static final int MAX_STOPS = 2;

  // Enough for the jobs that are stopped within the lifetime of a job.
  private static final int MAX_JOBS = 16_384;

  private final Map<String, Integer> stops = new RecentEntries<>(MAX_JOBS);

  /** Records that a job was stopped for another. */
  void recordStop(String jobName) {
    stops.merge(jobName, 1, Integer::sum);
  }

  /** Forgets a job that has ended. */
  void forget(String jobName) {
    stops.remove(jobName);
  }

  /** Returns whether a job has been stopped as often as is allowed. */
  boolean isReached(String jobName) {
    return stops.getOrDefault(jobName, 0) >= MAX_STOPS;
  }
}
