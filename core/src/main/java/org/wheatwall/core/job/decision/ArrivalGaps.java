package org.wheatwall.core.job.decision;

import java.util.OptionalDouble;

/**
 * Whether more work of a kind is expected soon, by the times between its arrivals. Work that came
 * ten times a second and has not come for two seconds has ended, work that comes every three
 * seconds has not.
 */
final class ArrivalGaps {
  /** How long after an arrival the next one is expected at least, milliseconds. */
  static final int SHORTEST_MS = 2000;

  /** How long after an arrival the next one is expected at most, milliseconds. */
  static final int LONGEST_MS = 10_000;

  // Arrivals that are independent of each other are seldom further apart than this many times the
  // mean: once in 3,000.
  private static final int MEAN_GAPS = 8;
  // How much of the mean each gap makes up.
  private static final double LATEST_SHARE = 1.0 / 8;

  private OptionalDouble meanMs = OptionalDouble.empty();
  private long lastMs = Long.MIN_VALUE / 2;

  /** Notes an arrival; one that is told out of order changes nothing. */
  void arrived(long atMs) {
    if (atMs <= lastMs) {
      return;
    }
    long gapMs = atMs - lastMs;
    lastMs = atMs;
    if (gapMs < LONGEST_MS) {
      double before = meanMs.orElse((double) gapMs);
      meanMs = OptionalDouble.of(before + (gapMs - before) * LATEST_SHARE);
    }
  }

  /** Returns whether the next arrival is expected. */
  boolean isExpected(long nowMs) {
    double gapsMs = MEAN_GAPS * meanMs.orElse(LONGEST_MS);
    double longestMs = Math.max(SHORTEST_MS, Math.min(LONGEST_MS, gapsMs));
    return nowMs - lastMs < longestMs;
  }
}
