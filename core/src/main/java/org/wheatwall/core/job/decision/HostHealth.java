package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Takes a worker host out of use after consecutive failed attempts and lets it back by probes. A
 * host that fails everything is always free and would otherwise attract every job.
 */
public final class HostHealth {
  /** Consecutive failures after which a host is out. */
  public static final int FAILURES_TO_QUARANTINE = 3;

  private static final long FIRST_QUARANTINE_MS = 30_000;
  private static final long LONGEST_QUARANTINE_MS = 3_600_000;

  private final Map<String, History> histories = new HashMap<>();

  private static final class History {
    private int consecutiveFailures;
    private long quarantineMs = FIRST_QUARANTINE_MS;
    private long usableAgainAtMs;
    private boolean quarantined;
  }

  /** Notes a failed attempt; returns whether the host is out from now on. */
  public boolean failed(String host, long nowMs) {
    History history = histories.computeIfAbsent(host, name -> new History());
    history.consecutiveFailures++;
    if (history.consecutiveFailures < FAILURES_TO_QUARANTINE) {
      return false;
    }
    history.quarantined = true;
    history.usableAgainAtMs = nowMs + history.quarantineMs;
    history.quarantineMs = Math.min(LONGEST_QUARANTINE_MS, history.quarantineMs * 2);
    // One further failure, of the probe, is enough to be out again.
    history.consecutiveFailures = FAILURES_TO_QUARANTINE - 1;
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
