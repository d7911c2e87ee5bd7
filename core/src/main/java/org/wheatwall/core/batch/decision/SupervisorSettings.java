package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Names;

/**
 * Settings of {@link RunSupervisor}.
 *
 * @param leaseMs maximum lease of the tasks on a worker, milliseconds
 * @param startTries how often a start that gets no response is sent before its run is abandoned
 * @param roomTries how often a start is sent to a worker that has no free capacity yet
 * @param stopRepeatMs time after which an unacknowledged stop is resent, milliseconds
 * @param retentionMs how long the records of an ended job are retained, milliseconds
 */
public record SupervisorSettings(
    int leaseMs, int startTries, int roomTries, int stopRepeatMs, int retentionMs) {
  // Worker clocks run up to 2% slow; the remainder, together with the delivery allowance, covers
  // the time between sending and receipt of a command.
  private static final int CLOCK_DRIFT_ALLOWANCE_PERCENT = 3;
  private static final int DELIVERY_ALLOWANCE_MS = 500;

  /** Validates the settings. */
  public SupervisorSettings {
    Names.requireRange("leaseMs", leaseMs, 1, 600_000);
    Names.requireRange("startTries", startTries, 1, 100);
    Names.requireRange("roomTries", roomTries, 1, 100);
    Names.requireRange("stopRepeatMs", stopRepeatMs, 1, 60_000);
  }

  /** Returns settings for leases of at most {@code leaseMs}, milliseconds. */
  public static SupervisorSettings of(int leaseMs, int retentionMs) {
    return new SupervisorSettings(leaseMs, 3, 5, 500, retentionMs);
  }

  /**
   * Returns the time after which every lease extended by a command has expired despite clock drift,
   * milliseconds.
   */
  public int leaseExpiryMs() {
    return leaseMs + leaseMs * CLOCK_DRIFT_ALLOWANCE_PERCENT / 100 + DELIVERY_ALLOWANCE_MS;
  }

  /**
   * Returns the least time that can have passed while the monotonic clock of a worker advanced by
   * {@code clockMs}, milliseconds.
   */
  public long leastElapsedMs(long clockMs) {
    return Math.max(0, clockMs) * 100 / (100 + CLOCK_DRIFT_ALLOWANCE_PERCENT);
  }

  /**
   * Returns by how much the monotonic clock of a worker can have advanced at the most in a time on
   * this host's clock, milliseconds.
   */
  public long mostElapsedMs(long elapsedMs) {
    return elapsedMs + elapsedMs * CLOCK_DRIFT_ALLOWANCE_PERCENT / 100;
  }
}
