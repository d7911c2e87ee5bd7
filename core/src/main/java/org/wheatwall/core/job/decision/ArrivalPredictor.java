package org.wheatwall.core.job.decision;

import java.util.OptionalDouble;

/**
 * Predicts from the times between arrivals whether more work of a kind is to be expected. After two
 * seconds without an arrival, work that arrived ten times a second is taken to have ended, but not
 * work that arrives every three seconds.
 */
final class ArrivalPredictor {
  /** Minimum time after an arrival during which another is expected, milliseconds. */
  static final int MIN_HORIZON_MS = 2000;

  /** Maximum time after an arrival during which another is expected, milliseconds. */
  static final int MAX_HORIZON_MS = 10_000;

  // With independent arrivals, one gap in 3,000 is longer than this multiple of the mean gap.
  private static final int HORIZON_MEAN_GAPS = 8;
  // Weight of the latest gap in the moving average.
  private static final double SMOOTHING_FACTOR = 1.0 / 8;

  private OptionalDouble meanGapMs = OptionalDouble.empty();
  private long lastArrivalMs = Long.MIN_VALUE / 2;

  /** Records an arrival; arrivals reported out of order are ignored. */
  void recordArrival(long atMs) {
    if (atMs <= lastArrivalMs) {
      return;
    }
    long gapMs = atMs - lastArrivalMs;
    lastArrivalMs = atMs;
    if (gapMs < MAX_HORIZON_MS) {
      double previousMs = meanGapMs.orElse((double) gapMs);
      meanGapMs = OptionalDouble.of(previousMs + (gapMs - previousMs) * SMOOTHING_FACTOR);
    }
  }

  /** Returns whether another arrival is expected. */
  boolean isArrivalExpected(long nowMs) {
    double gapHorizonMs = HORIZON_MEAN_GAPS * meanGapMs.orElse(MAX_HORIZON_MS);
    double horizonMs = Math.max(MIN_HORIZON_MS, Math.min(MAX_HORIZON_MS, gapHorizonMs));
    return nowMs - lastArrivalMs < horizonMs;
  }
}
