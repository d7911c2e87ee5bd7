package org.wheatwall.core.batch.decision;

import java.util.OptionalDouble;

/**
 * Progress of one run over its recent past, by the clock of its worker. It begins when the task
 * makes progress, so that neither a delayed start nor the progress of an earlier run counts.
 */
final class ProgressWindow {
  // Below this, rounding to whole percent and the time of the report decide the result.
  private static final int MIN_PERCENT = 3;
  private static final int MIN_MS = 600;
  // Progress longer ago counts no more, so that a task of minutes shows the recent speed of its
  // worker.
  private static final int ROTATE_MS = 10_000;
  private static final int ROTATE_PERCENT = 10;
  // Both ends of the window are rounded down to whole percent, which makes an error of 0.4 percent
  // (standard deviation of the difference of two uniform variables).
  private static final double ROUNDING_PERCENT = 0.41;
  private static final double COMPLETE_PERCENT = 100;

  private long startMs;
  private int startPercent;
  private long nextStartMs;
  private int nextStartPercent;
  private long atMs;
  private int percent;

  ProgressWindow(long clockMs, int percent) {
    restart(clockMs, percent);
  }

  /** Discards the progress so far. */
  void restart(long clockMs, int nextPercent) {
    startMs = clockMs;
    startPercent = nextPercent;
    nextStartMs = clockMs;
    nextStartPercent = nextPercent;
    atMs = clockMs;
    percent = nextPercent;
  }

  /** Adds a report; progress that goes back or a clock that goes back begins a new window. */
  void add(long clockMs, int nextPercent) {
    if (nextPercent < percent || clockMs < atMs || nextPercent == 0) {
      restart(clockMs, nextPercent);
      return;
    }
    atMs = clockMs;
    percent = nextPercent;
    if (atMs - nextStartMs >= ROTATE_MS && percent - nextStartPercent >= ROTATE_PERCENT) {
      startMs = nextStartMs;
      startPercent = nextStartPercent;
      nextStartMs = atMs;
      nextStartPercent = percent;
    }
  }

  /** Returns the projected run time of the whole task, milliseconds, empty if not yet known. */
  OptionalDouble totalMs() {
    int progressed = percent - startPercent;
    long elapsedMs = atMs - startMs;
    return progressed < MIN_PERCENT || elapsedMs < MIN_MS
        ? OptionalDouble.empty()
        : OptionalDouble.of(elapsedMs * COMPLETE_PERCENT / progressed);
  }

  /** Returns the standard error of {@link #totalMs}, as a fraction of it. */
  double relativeError() {
    return ROUNDING_PERCENT / Math.max(MIN_PERCENT, percent - startPercent);
  }

  /** Returns the projected remaining run time, milliseconds, empty if not yet known. */
  OptionalDouble remainingMs() {
    OptionalDouble totalMs = totalMs();
    return totalMs.isEmpty()
        ? totalMs
        : OptionalDouble.of(
            totalMs.getAsDouble() * (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT);
  }
}
