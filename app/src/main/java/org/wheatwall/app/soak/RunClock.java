package org.wheatwall.app.soak;

import java.util.concurrent.TimeUnit;

/** The monotonic clock of this process, and the time since the start of a run. */
final class RunClock {
  private final long startMs = monotonicMs();

  /** Returns the time of the monotonic clock, which the worker stand-ins use, milliseconds. */
  static long monotonicMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the time since the start, milliseconds. */
  long nowMs() {
    return monotonicMs() - startMs;
  }

  /** Converts a time of the monotonic clock to the time since the start, milliseconds. */
  long sinceStart(long atMonotonicMs) {
    return atMonotonicMs - startMs;
  }
}
