package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Names;

/**
 * Times of a decider's term, milliseconds.
 *
 * @param actMs how long a holder acts after it sent its last confirmed record
 * @param silenceMs how long others wait after the last record of a holder that they read
 * @param renewMs time without a record of its own after which a holder renews
 * @param yieldMs how much longer than others this host waits, so that stronger ones go first
 * @param askMs time without a record of the holder after which others ask it directly
 * @param goneMs how long others wait for a holder that does not answer them either
 * @param resignMs time without a confirmed record after which a holder that is asked gives up
 */
public record TermSettings(
    int actMs, int silenceMs, int renewMs, int yieldMs, int askMs, int goneMs, int resignMs) {
  private static final int DRIFT_PERCENT = 4;
  // A renewal and the pause of its readers: a holder that is well is not asked.
  private static final int ASK_MS = 750;
  // Two questions of 0.2 s each behind that.
  private static final int GONE_MS = 1250;
  // At a store 60 times slower than usual, 0.24 s a call, a holder that is well is unconfirmed for
  // 0.9 s: a renewal, a tick and the call (worked out).
  private static final int RESIGN_MS = 1200;

  /**
   * The shortest take-over that bears a renewal lost once: three renewals within the time to act,
   * and a wait that exceeds it by the drift of two clocks at 2% each and a scheduling delay.
   */
  public static final TermSettings DEFAULT =
      new TermSettings(1800, 2200, 500, 0, ASK_MS, GONE_MS, RESIGN_MS);

  /** Validates. */
  public TermSettings {
    Names.requireRange("actMs", actMs, 1, 60_000);
    Names.requireRange("renewMs", renewMs, 1, actMs);
    int least = actMs + actMs * DRIFT_PERCENT / 100;
    Names.requireRange("silenceMs", silenceMs, least, 120_000);
    Names.requireRange("yieldMs", yieldMs, 0, 10_000);
    Names.requireRange("askMs", askMs, renewMs, silenceMs);
    Names.requireRange("goneMs", goneMs, askMs, silenceMs);
    Names.requireRange("resignMs", resignMs, renewMs, actMs);
  }

  /** Returns these settings for a host that lets others claim {@code delayMs} earlier. */
  public TermSettings withYieldMs(int delayMs) {
    return new TermSettings(actMs, silenceMs, renewMs, delayMs, askMs, goneMs, resignMs);
  }
}
