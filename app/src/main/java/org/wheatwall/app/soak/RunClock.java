package org.wheatwall.app.soak;

import java.util.concurrent.TimeUnit;

/** The steady clock of this process, and the time since the start of a run. */
final class RunClock {
  private final long startMs = monotonicMs();

  /** Returns the clock that the stand-ins of workers use. */
  static long monotonicMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the time since the start, milliseconds. */
  long nowMs() {
    return monotonicMs() - startMs;
  }

  /** Returns a time of the stand-ins' clock as time since the start. */
  long sinceStart(long atSteadyMs) {
    return atSteadyMs - startMs;
  }
}
