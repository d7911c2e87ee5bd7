package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When this process learned from the job log that jobs had ended, on its own monotonic clock. The
 * time since then is never longer than the time since the end: not if a wall clock is set, if hosts
 * disagree on the time of day, or if this machine was suspended.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class EndedJobs {
  // In the order of the times.
  private final Map<String, Long> learnedAtMs = new LinkedHashMap<>();

  /** Records that the end of a job was read; only the first call for a job counts. */
  public void add(String jobId, long nowMs) {
    learnedAtMs.putIfAbsent(jobId, nowMs);
  }

  /** Forgets a job whose end was removed from the log. */
  public void remove(String jobId) {
    learnedAtMs.remove(jobId);
  }

  /** Forgets all jobs but these. */
  public void retainAll(Set<String> jobIds) {
    learnedAtMs.keySet().retainAll(jobIds);
  }

  /** Returns the jobs that have been known to have ended for longer than {@code ageMs}. */
  public List<String> olderThan(long ageMs, long nowMs) {
    return learnedAtMs.entrySet().stream()
        .takeWhile(entry -> nowMs - entry.getValue() > ageMs)
        .map(Map.Entry::getKey)
        .toList();
  }
}
