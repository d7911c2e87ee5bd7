package org.wheatwall.entry.configuration;

/** This host's share of the log's appends: a token bucket. */
final class AppendBudget {
  /** Appends a second of one host; eight hosts stay below the log's 100 a second. */
  static final double APPENDS_PER_SECOND = 12;

  private static final double BURST_APPENDS = 6;

  private double tokens = BURST_APPENDS;
  private long lastMs;

  /** Takes one append; false if none is left now. */
  boolean tryAcquire(long nowMs) {
    tokens = Math.min(BURST_APPENDS, tokens + (nowMs - lastMs) * APPENDS_PER_SECOND / 1000);
    lastMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
