package org.wheatwall.entry.batch;

/**
 * Limits how often the term is handed over because of unreachable workers, by whichever host.
 * Nothing starts during a hand-over, so the term must not circulate while reachability changes. A
 * hand-over did not help if the next one follows soon; at most one such hand-over is allowed within
 * a window.
 */
final class HandOverLimit {
  // Long enough to detect unreachable workers and to ask other hosts twice.
  private static final int HELPFUL_AFTER_MS = 8000;
  private static final int WINDOW_MS = 30_000;
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private long lastMs = NEVER_MS;
  private long lastUnhelpfulMs = NEVER_MS;

  /** Records that a hand-over to a chosen successor was read in the job log. */
  void record(long nowMs) {
    if (nowMs - lastMs < HELPFUL_AFTER_MS) {
      lastUnhelpfulMs = lastMs;
    }
    lastMs = nowMs;
  }

  /** Returns whether another hand-over is allowed. */
  boolean allows(long nowMs) {
    boolean lastHelped = nowMs - lastMs >= HELPFUL_AFTER_MS;
    return lastHelped || nowMs - lastUnhelpfulMs >= WINDOW_MS;
  }
}
