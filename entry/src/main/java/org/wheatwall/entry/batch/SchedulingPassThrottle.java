package org.wheatwall.entry.batch;

/**
 * Limits the rate of scheduling passes so that they leave most of the processor to reports and
 * renewals: after a pass, the next one is delayed by a multiple of its duration. A quick pass may
 * be followed by the next at once.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class SchedulingPassThrottle {
  // Passes take at most a quarter of the time. On a host of 1.5 cores with 246 workers and 400
  // waiting jobs, one pass for each worker that was listed or reported kept a new decider busy for
  // 18 s.
  private static final int PAUSE_PER_PASS = 3;
  private static final int MAX_PAUSE_MS = 400;

  private long nextAtMs = Long.MIN_VALUE;

  /**
   * Returns how long the next pass has to wait, milliseconds; zero or negative if it may run now.
   */
  long waitMs(long nowMs) {
    return nextAtMs == Long.MIN_VALUE ? 0 : nextAtMs - nowMs;
  }

  /** Records a scheduling pass. */
  void recordPass(long beganMs, long endedMs) {
    long pause = Math.min(MAX_PAUSE_MS, (endedMs - beganMs) * PAUSE_PER_PASS);
    nextAtMs = endedMs + pause;
  }
}
