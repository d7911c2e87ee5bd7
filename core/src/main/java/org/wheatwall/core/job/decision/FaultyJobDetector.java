package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Detects jobs that fail because of a fault of their own rather than of a host: they fail on many
 * hosts, and on more hosts than the number of their tasks that succeeded.
 */
final class FaultyJobDetector {
  // Only recent failures matter; this is more jobs than fail within one quarantine period.
  private static final int MAX_JOBS = 1024;
  // If a fifth of the hosts fail every task, a job of 26 single tasks fails on five of them before
  // any of its tasks succeeds, and a gang fails on one with each attempt. The limit is above that.
  static final int MIN_FAILED_HOSTS = 8;

  private final Map<String, JobHistory> historyByJob =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobHistory> eldest) {
          return size() > MAX_JOBS;
        }
      };

  /** Failures and successes of a job that has failed at least once. */
  private static final class JobHistory {
    private final Set<String> failedOn = new HashSet<>();
    private int succeededTasks;
  }

  /** Records that a task of a job failed on a host; returns whether the job counts as faulty. */
  boolean recordFailure(String job, String host) {
    JobHistory history = historyByJob.computeIfAbsent(job, name -> new JobHistory());
    history.failedOn.add(host);
    return history.failedOn.size() >= MIN_FAILED_HOSTS
        && history.failedOn.size() > history.succeededTasks;
  }

  /** Records that a task of a job succeeded. */
  void recordSuccess(String job) {
    JobHistory history = historyByJob.get(job);
    if (history != null) {
      history.succeededTasks++;
    }
  }

  /** Returns the hosts on which a job failed. */
  Set<String> failedHosts(String job) {
    JobHistory history = historyByJob.get(job);
    return history == null ? Set.of() : Set.copyOf(history.failedOn);
  }
}
