package org.wheatwall.entry.batch;

/**
 * Spaces the looks at the queue, so that they leave most of the processor to reports and renewals:
 * after a look, the next one waits for a multiple of the time that it took. A quick look is
 * followed at once.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class DecisionPace {
  // Looks take at most a quarter of the time: on a host of 1.5 cores with 246 workers and 400 jobs
  // waiting, a look for each worker that was listed or heard kept a new decider busy for 18 s.
  private static final int PAUSE_PER_LOOK = 3;
  private static final int LONGEST_PAUSE_MS = 400;

  private long nextAtMs = Long.MIN_VALUE;

  /** Returns how long the next look has to wait, milliseconds; not positive if it may be now. */
  long waitMs(long nowMs) {
    return nextAtMs == Long.MIN_VALUE ? 0 : nextAtMs - nowMs;
  }

  /** Notes a look at the queue. */
  void looked(long beganMs, long endedMs) {
    long pause = Math.min(LONGEST_PAUSE_MS, (endedMs - beganMs) * PAUSE_PER_LOOK);
    nextAtMs = endedMs + pause;
  }
}
