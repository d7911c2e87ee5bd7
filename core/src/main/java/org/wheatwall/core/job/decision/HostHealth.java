package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Quarantines a worker host after consecutive failed attempts and later releases it to probe it. A
 * host that fails everything is always free and would otherwise attract every job.
 *
 * <p>A host that fails again after its release is on probation after its next quarantine: it gets
 * only one task at a time, of work that tolerates a failure, until a task succeeds there or the
 * probation period has passed without a failure. There is no probation after the first quarantine,
 * because a first failure is often the fault of the task.
 */
public final class HostHealth {
  private final HostHealthSettings settings;
  private final FaultyJobDetector faultyJobs = new FaultyJobDetector();
  private final Map<String, History> histories = new HashMap<>();

  private static final class History {
    private final Set<String> failedJobs = new HashSet<>();
    private int consecutiveFailures;
    private long lastFailureMs;
    private int quarantines;
    private long nextQuarantineMs;
    private long quarantinedUntilMs;
    private long onProbationUntilMs;
    private boolean quarantined;
    private boolean onProbation;

    private History(long quarantineMs) {
      this.nextQuarantineMs = quarantineMs;
    }
  }

  /** Creates a tracker without any history. */
  public HostHealth(HostHealthSettings settings) {
    this.settings = settings;
  }

  /** Records a failed attempt of an unknown job; returns whether it quarantines the host. */
  public boolean recordFailure(String host, long nowMs) {
    return countFailure(history(host), nowMs);
  }

  /**
   * Records a failed attempt; returns the hosts whose state changed. Repeated failures of a job on
   * the same host count once, because the job may be the cause. Once a job counts as faulty ({@link
   * FaultyJobDetector}), hosts that are quarantined because of that job alone are released.
   */
  public Set<String> recordFailure(String host, String job, long nowMs) {
    if (faultyJobs.recordFailure(job, host)) {
      return clearFailuresOf(job);
    }
    History history = history(host);
    boolean quarantined = history.failedJobs.add(job) && countFailure(history, nowMs);
    return quarantined ? Set.of(host) : Set.of();
  }

  private Set<String> clearFailuresOf(String job) {
    Set<String> cleared = new TreeSet<>();
    for (String host : faultyJobs.failedHosts(job)) {
      History history = histories.get(host);
      if (history != null && history.failedJobs.equals(Set.of(job))) {
        histories.remove(host);
        cleared.add(host);
      }
    }
    return cleared;
  }

  private History history(String host) {
    return histories.computeIfAbsent(host, name -> new History(settings.firstQuarantineMs()));
  }

  private boolean countFailure(History history, long nowMs) {
    history.consecutiveFailures++;
    history.lastFailureMs = nowMs;
    if (history.quarantined || history.consecutiveFailures < settings.failures()) {
      return false;
    }
    history.quarantined = true;
    history.quarantines++;
    history.onProbation = false;
    history.quarantinedUntilMs = nowMs + history.nextQuarantineMs;
    history.nextQuarantineMs =
        Math.min(settings.longestQuarantineMs(), history.nextQuarantineMs * 2);
    return true;
  }

  /** Records that a task of a job succeeded. */
  public void recordTaskSuccess(String job) {
    faultyJobs.recordSuccess(job);
  }

  /**
   * Records a successful attempt, which clears the history of the host unless the host has failed
   * since that attempt started. Returns whether the state of the host changed.
   */
  public boolean recordSuccess(String host, long startedAtMs) {
    History history = histories.get(host);
    if (history == null || startedAtMs < history.lastFailureMs) {
      return false;
    }
    histories.remove(host);
    return history.quarantined || history.onProbation;
  }

  /** Ends expired quarantines and probations; returns the hosts whose state changed. */
  public Set<String> releaseExpired(long nowMs) {
    Set<String> released = new TreeSet<>();
    for (Map.Entry<String, History> entry : histories.entrySet()) {
      History history = entry.getValue();
      if (history.quarantined && history.quarantinedUntilMs <= nowMs) {
        history.quarantined = false;
        history.onProbation = history.quarantines > 1;
        history.onProbationUntilMs = nowMs + settings.probationMs();
        // A single failure of the probe quarantines the host again.
        history.consecutiveFailures = settings.failures() - 1;
        history.failedJobs.clear();
        released.add(entry.getKey());
      } else if (history.onProbation && history.onProbationUntilMs <= nowMs) {
        history.onProbation = false;
        released.add(entry.getKey());
      }
    }
    return released;
  }

  /** Returns whether the host is quarantined. */
  public boolean isQuarantined(String host) {
    History history = histories.get(host);
    return history != null && history.quarantined;
  }

  /** Returns whether the host is on probation after a quarantine. */
  public boolean isOnProbation(String host) {
    History history = histories.get(host);
    return history != null && history.onProbation;
  }
}
