package org.wheatwall.standin.store;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The data rate that all reads of a store share, in turn. A read whose caller has given up uses it
 * as well. Thread-safe.
 */
final class ReadBudget {
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private long bytesPerSecond;
  private long freeAtNanos;

  /** Sets the rate, bytes a second; 0 for no limit. */
  synchronized void setBytesPerSecond(long rate) {
    bytesPerSecond = rate;
    freeAtNanos = System.nanoTime();
  }

  /**
   * Reserves the time that a response needs.
   *
   * @return time until the response is sent, milliseconds; empty if the queue is too long
   */
  synchronized OptionalLong reserve(int bytes) {
    if (bytesPerSecond == 0) {
      return OptionalLong.of(0);
    }
    long now = System.nanoTime();
    long start = Math.max(now, freeAtNanos);
    if (start - now > MAX_WAIT_NANOS) {
      return OptionalLong.empty();
    }
    freeAtNanos = start + TimeUnit.SECONDS.toNanos(bytes) / bytesPerSecond;
    return OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(freeAtNanos - now));
  }
}
