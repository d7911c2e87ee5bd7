package org.wheatwall.entry.configuration;

/** Limits the appends of this host with a token bucket. */
final class AppendBudget {
  /** Rate of one host; eight hosts stay below the log's limit of 100 appends per second. */
  static final double APPENDS_PER_SECOND = 12;

  private static final double BURST_APPENDS = 6;

  private double tokens = BURST_APPENDS;
  private long refilledAtMs;

  /** Acquires one append; returns false if the budget is used up at {@code nowMs}. */
  boolean tryAcquire(long nowMs) {
    tokens = Math.min(BURST_APPENDS, tokens + (nowMs - refilledAtMs) * APPENDS_PER_SECOND / 1000);
    refilledAtMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
