package org.wheatwall.core.job.decision;

import java.util.OptionalDouble;

/**
 * Whether more work of a kind is expected soon, by the times between its arrivals. Work that came
 * ten times a second and has not come for two seconds has ended, work that comes every three
 * seconds has not.
 */
final class ArrivalPredictor {
  /** How long after an arrival the next one is expected at least, milliseconds. */
  static final int MIN_HORIZON_MS = 2000;

  /** How long after an arrival the next one is expected at most, milliseconds. */
  static final int MAX_HORIZON_MS = 10_000;

  // Arrivals that are independent of each other are seldom further apart than this many times the
  // mean: once in 3,000.
  private static final int HORIZON_MEAN_GAPS = 8;
  // How much of the mean each gap makes up.
  private static final double SMOOTHING_FACTOR = 1.0 / 8;

  private OptionalDouble meanGapMs = OptionalDouble.empty();
  private long lastArrivalMs = Long.MIN_VALUE / 2;

  /** Notes an arrival; one that is told out of order changes nothing. */
  void recordArrival(long atMs) {
    if (atMs <= lastArrivalMs) {
      return;
    }
    long gapMs = atMs - lastArrivalMs;
    lastArrivalMs = atMs;
    if (gapMs < MAX_HORIZON_MS) {
      double before = meanGapMs.orElse((double) gapMs);
      meanGapMs = OptionalDouble.of(before + (gapMs - before) * SMOOTHING_FACTOR);
    }
  }

  /** Returns whether the next arrival is expected. */
  boolean isArrivalExpected(long nowMs) {
    double gapsMs = HORIZON_MEAN_GAPS * meanGapMs.orElse(MAX_HORIZON_MS);
    double longestMs = Math.max(MIN_HORIZON_MS, Math.min(MAX_HORIZON_MS, gapsMs));
    return nowMs - lastArrivalMs < longestMs;
  }
}
