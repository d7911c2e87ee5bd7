package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Takes a worker host out of use after consecutive failed attempts and lets it back by probes. A
 * host that fails everything is always free and would otherwise attract every job.
 */
public final class HostHealth {
  private final HostHealthSettings settings;
  private final Map<String, History> histories = new HashMap<>();

  private static final class History {
    private final Set<String> failedJobs = new HashSet<>();
    private int consecutiveFailures;
    private long quarantineMs;
    private long usableAgainAtMs;
    private boolean quarantined;

    private History(long quarantineMs) {
      this.quarantineMs = quarantineMs;
    }
  }

  /** Creates the health of hosts of which nothing is known. */
  public HostHealth(HostHealthSettings settings) {
    this.settings = settings;
  }

  /** Notes a failed attempt of an unnamed job; returns whether the host is out from now on. */
  public boolean failed(String host, long nowMs) {
    return count(history(host), nowMs);
  }

  /**
   * Notes a failed attempt; returns whether the host is out from now on. A job that fails again on
   * the same host says more about the job, so it counts once.
   */
  public boolean failed(String host, String job, long nowMs) {
    History history = history(host);
    return history.failedJobs.add(job) && count(history, nowMs);
  }

  private History history(String host) {
    return histories.computeIfAbsent(host, name -> new History(settings.firstQuarantineMs()));
  }

  private boolean count(History history, long nowMs) {
    history.consecutiveFailures++;
    if (history.consecutiveFailures < settings.failures()) {
      return false;
    }
    history.quarantined = true;
    history.usableAgainAtMs = nowMs + history.quarantineMs;
    history.quarantineMs = Math.min(settings.longestQuarantineMs(), history.quarantineMs * 2);
    // One further failure, of the probe, is enough to be out again.
    history.consecutiveFailures = settings.failures() - 1;
    history.failedJobs.clear();
    return true;
  }

  /** Notes a success; the host's history is clean again. */
  public void succeeded(String host) {
    histories.remove(host);
  }

  /** Returns the hosts whose quarantine ended by {@code nowMs}, each once. */
  public Set<String> released(long nowMs) {
    Set<String> released = new TreeSet<>();
    for (Map.Entry<String, History> entry : histories.entrySet()) {
      History history = entry.getValue();
      if (history.quarantined && history.usableAgainAtMs <= nowMs) {
        history.quarantined = false;
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
}
