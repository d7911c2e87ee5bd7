package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds the jobs that fail by their own fault rather than by that of a host: they fail on many
 * hosts, on more than they got tasks done.
 */
final class FaultyJobDetector {
  // Only jobs that failed lately are compared; more than fail within a quarantine.
  private static final int MAX_JOBS = 1024;
  // With a fifth of the hosts failing all they are given, a job of 26 single tasks meets five of
  // them
  // before any of its tasks is done, and a gang one with each attempt.
  static final int MIN_FAILED_HOSTS = 8;

  private final Map<String, JobHistory> historyByJob =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobHistory> eldest) {
          return size() > MAX_JOBS;
        }
      };

  /** How a job that has failed somewhere fares. */
  private static final class JobHistory {
    private final Set<String> failedOn = new HashSet<>();
    private int succeededTasks;
  }

  /** Notes that a task of a job failed on a host; returns whether the job is at fault itself. */
  boolean recordFailure(String job, String host) {
    JobHistory history = historyByJob.computeIfAbsent(job, name -> new JobHistory());
    history.failedOn.add(host);
    return history.failedOn.size() >= MIN_FAILED_HOSTS
        && history.failedOn.size() > history.succeededTasks;
  }

  /** Notes that a task of a job was done. */
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
