package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Names;

/**
 * Times of the supervisor of runs, milliseconds.
 *
 * @param leaseMs longest lease of what runs on a worker
 * @param startTries how often a start without an answer is sent before its run is given up
 * @param roomTries how often a start is sent to a worker that has no room yet
 * @param stopRepeatMs time after which a stop without an answer is sent again
 * @param retentionMs how long an ended job is kept
 */
public record SupervisorSettings(
    int leaseMs, int startTries, int roomTries, int stopRepeatMs, int retentionMs) {
  // Clocks of workers run up to 2% slow; the rest bears the time that an order is under way.
  private static final int CLOCK_DRIFT_ALLOWANCE_PERCENT = 3;
  private static final int DELIVERY_ALLOWANCE_MS = 500;

  /** Validates. */
  public SupervisorSettings {
    Names.requireRange("leaseMs", leaseMs, 1, 600_000);
    Names.requireRange("startTries", startTries, 1, 100);
    Names.requireRange("roomTries", roomTries, 1, 100);
    Names.requireRange("stopRepeatMs", stopRepeatMs, 1, 60_000);
  }

  /** Returns settings for workers whose leases last at most {@code leaseMs}. */
  public static SupervisorSettings of(int leaseMs, int retentionMs) {
    return new SupervisorSettings(leaseMs, 3, 5, 500, retentionMs);
  }

  /** Returns the time after which everything leased by an order has ended, whatever its clock. */
  public int leaseExpiryMs() {
    return leaseMs + leaseMs * CLOCK_DRIFT_ALLOWANCE_PERCENT / 100 + DELIVERY_ALLOWANCE_MS;
  }
}
