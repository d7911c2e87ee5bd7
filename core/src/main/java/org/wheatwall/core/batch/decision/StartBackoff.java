package org.wheatwall.core.batch.decision;

/**
 * Delays further starts at a worker that refuses them. The delay doubles with each refusal in a row
 * and ends with the first start that the worker takes.
 */
final class StartBackoff {
  static final int INITIAL_DELAY_MS = 100;
  static final int MAX_DELAY_MS = 3200;

  private int nextDelayMs = INITIAL_DELAY_MS;
  private long untilMs;
  private boolean active;

  /**
   * Notes that a start was refused. Starts that were under way together count once.
   *
   * @return the delay that begins, milliseconds; 0 if one is under way
   */
  int recordRefusal(long nowMs) {
    if (active) {
      return 0;
    }
    int delayMs = nextDelayMs;
    active = true;
    untilMs = nowMs + delayMs;
    nextDelayMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
    return delayMs;
  }

  /** Notes that a start was taken. */
  void recordAcceptance() {
    active = false;
    nextDelayMs = INITIAL_DELAY_MS;
  }

  /** Ends the delay if it is over; returns whether it ended by that. */
  boolean endIfElapsed(long nowMs) {
    boolean over = active && nowMs >= untilMs;
    active &= !over;
    return over;
  }

  /** Returns whether starts are delayed. */
  boolean active() {
    return active;
  }
}
