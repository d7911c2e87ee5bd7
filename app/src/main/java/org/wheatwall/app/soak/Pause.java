package org.wheatwall.app.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits of the threads of a soak. */
final class Pause {
  private Pause() {}

  /** Waits for some time, less if the thread is interrupted. */
  static void ms(long ms) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
  }
}
