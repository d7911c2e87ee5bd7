package org.wheatwall.core.batch.decision;

/**
 * Delays further starts on a worker that refuses them. The delay doubles with each consecutive
 * refusal and is reset by the first start that the worker accepts.
 */
final class StartBackoff {
  static final int INITIAL_DELAY_MS = 100;
  static final int MAX_DELAY_MS = 3200;

  private int nextDelayMs = INITIAL_DELAY_MS;
  private long untilMs;
  private boolean active;

  /**
   * Records that a start was refused. Refusals during a delay are ignored, so that concurrent
   * starts count once.
   *
   * @return the delay that begins, milliseconds; 0 if a delay is already active
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

  /** Records that a start was accepted, which ends the delay and resets it. */
  void recordAcceptance() {
    active = false;
    nextDelayMs = INITIAL_DELAY_MS;
  }

  /** Ends the delay if its time has elapsed; returns whether it was ended. */
  boolean endIfElapsed(long nowMs) {
    boolean elapsed = active && nowMs >= untilMs;
    active &= !elapsed;
    return elapsed;
  }

  /** Returns whether starts are delayed. */
  boolean active() {
    return active;
  }
}
