package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Takes a worker host out of use after consecutive failed attempts and lets it back by probes. A
 * host that fails everything is always free and would otherwise attract every job.
 *
 * <p>A host that fails again once it is back is on probation the next time: it is to get one task
 * at a time that bears a failure, until one was done there or nothing has failed for a while. The
 * first failure alone is often the task's own.
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

  /** Creates the health of hosts of which nothing is known. */
  public HostHealth(HostHealthSettings settings) {
    this.settings = settings;
  }

  /** Notes a failed attempt of an unnamed job; returns whether the host is out from now on. */
  public boolean recordFailure(String host, long nowMs) {
    return countFailure(history(host), nowMs);
  }

  /**
   * Notes a failed attempt; returns the hosts whose state changed. A job that fails again on the
   * same host counts once, since the cause may be the job. Once a job counts as faulty ({@link
   * FaultyJobDetector}), hosts that are out because of it alone come back.
   */
  public Set<String> recordFailure(String host, String job, long nowMs) {
    if (faultyJobs.recordFailure(job, host)) {
      return clearFailuresOf(job);
    }
    History history = history(host);
    boolean out = history.failedJobs.add(job) && countFailure(history, nowMs);
    return out ? Set.of(host) : Set.of();
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

  /** Notes that a task of a job was done. */
  public void recordTaskSuccess(String job) {
    faultyJobs.recordSuccess(job);
  }

  /**
   * Notes a success; the host's history is clean again, unless it has failed since that attempt
   * began. Returns whether its state changed.
   */
  public boolean recordSuccess(String host, long startedAtMs) {
    History history = histories.get(host);
    if (history == null || startedAtMs < history.lastFailureMs) {
      return false;
    }
    histories.remove(host);
    return history.quarantined || history.onProbation;
  }

  /** Returns the hosts whose quarantine or probation ended by {@code nowMs}, each once. */
  public Set<String> releaseExpired(long nowMs) {
    Set<String> released = new TreeSet<>();
    for (Map.Entry<String, History> entry : histories.entrySet()) {
      History history = entry.getValue();
      if (history.quarantined && history.quarantinedUntilMs <= nowMs) {
        history.quarantined = false;
        history.onProbation = history.quarantines > 1;
        history.onProbationUntilMs = nowMs + settings.probationMs();
        // One further failure, of the probe, is enough to be out again.
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

  /** Returns whether the host is out. */
  public boolean isQuarantined(String host) {
    History history = histories.get(host);
    return history != null && history.quarantined;
  }

  /** Returns whether the host is back, but nothing was done there since. */
  public boolean isOnProbation(String host) {
    History history = histories.get(host);
    return history != null && history.onProbation;
  }
}
