package org.wheatwall.wire.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of something that calls in flight hold. An eighth more is reserved for
 * small calls, so that large ones alone cannot exclude them.
 */
final class ByteBudget {
  private static final int SMALL_BYTES = 16 * 1024;
  private static final int RESERVE_DIVISOR = 8;

  private final long maxBytes;
  private final AtomicLong used = new AtomicLong();

  ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes bytes; returns whether they were available. */
  boolean tryAcquire(long bytes) {
    long limit = bytes <= SMALL_BYTES ? maxBytes + maxBytes / RESERVE_DIVISOR : maxBytes;
    if (used.addAndGet(bytes) > limit) {
      release(bytes);
      return false;
    }
    return true;
  }

  /** Gives bytes back. */
  void release(long bytes) {
    used.addAndGet(-bytes);
  }
}
