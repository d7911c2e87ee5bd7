package org.wheatwall.core.batch.decision;

import org.wheatwall.core.common.Names;

/**
 * Timing of a decider's term, milliseconds.
 *
 * @param actMs how long a holder may act after sending its last confirmed record
 * @param silenceMs how long other hosts wait after they read the holder's last record
 * @param renewMs time after its last record at which a holder renews the term
 * @param yieldMs how much longer than others this host waits, so that faster hosts claim first
 * @param askMs time without a record of the holder after which other hosts query it directly
 * @param goneMs how long other hosts wait for a holder that does not respond to queries either
 * @param resignMs time without a confirmed record after which a queried holder resigns
 */
public record TermSettings(
    int actMs, int silenceMs, int renewMs, int yieldMs, int askMs, int goneMs, int resignMs) {
  private static final int DRIFT_PERCENT = 4;
  // Longer than a renewal and its readers' poll interval, so that a healthy holder is not queried.
  private static final int ASK_MS = 750;
  // Leaves time for two queries of 0.2 s each after ASK_MS.
  private static final int GONE_MS = 1250;
  // With a store 60 times slower than usual, at 0.24 s a call, a healthy holder is unconfirmed for
  // 0.9 s: a renewal, a tick and the call.
  private static final int RESIGN_MS = 1200;

  /**
   * Shortest takeover time that tolerates one lost renewal: three renewals within the time to act,
   * and a silence that exceeds it by the drift of two clocks at 2% each and a scheduling delay.
   */
  public static final TermSettings DEFAULT =
      new TermSettings(1800, 2200, 500, 0, ASK_MS, GONE_MS, RESIGN_MS);

  /** Validates the settings. */
  public TermSettings {
    Names.requireRange("actMs", actMs, 1, 60_000);
    Names.requireRange("renewMs", renewMs, 1, actMs);
    int minSilenceMs = actMs + actMs * DRIFT_PERCENT / 100;
    Names.requireRange("silenceMs", silenceMs, minSilenceMs, 120_000);
    Names.requireRange("yieldMs", yieldMs, 0, 10_000);
    Names.requireRange("askMs", askMs, renewMs, silenceMs);
    Names.requireRange("goneMs", goneMs, askMs, silenceMs);
    Names.requireRange("resignMs", resignMs, renewMs, actMs);
  }

  /** Returns these settings for a host that claims {@code delayMs} later than others. */
  public TermSettings withYieldMs(int delayMs) {
    return new TermSettings(actMs, silenceMs, renewMs, delayMs, askMs, goneMs, resignMs);
  }
}
