package org.wheatwall.app.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Delays for the threads of a soak. */
final class Pause {
  private Pause() {}

  /** Waits for {@code ms} milliseconds, or until the thread is interrupted. */
  static void ms(long ms) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
  }
}
