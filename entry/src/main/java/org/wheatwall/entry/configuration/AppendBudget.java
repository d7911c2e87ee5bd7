package org.wheatwall.entry.configuration;

/** This host's share of the log's appends: a token bucket. */
final class AppendBudget {
  /** Appends a second of one host; eight hosts stay below the log's 100 a second. */
  static final double PER_SECOND = 12;

  private static final double BURST = 6;

  private double tokens = BURST;
  private long lastMs;

  /** Takes one append; false if none is left now. */
  boolean tryTake(long nowMs) {
    tokens = Math.min(BURST, tokens + (nowMs - lastMs) * PER_SECOND / 1000);
    lastMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
