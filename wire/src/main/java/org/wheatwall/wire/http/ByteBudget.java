package org.wheatwall.wire.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of something that calls hold. An eighth more is reserved for small calls,
 * so that large ones alone cannot exclude them. A call whose caller has gone leaves its place to
 * others at once, but its memory is free only when its handler has finished, so the total of both
 * has a limit of its own.
 */
final class ByteBudget {
  private static final int SMALL_BYTES = 16 * 1024;
  private static final int RESERVE_DIVISOR = 8;

  private final long maxBytes;
  private final AtomicLong inFlight = new AtomicLong();
  private final AtomicLong held = new AtomicLong();

  ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes bytes for a call; returns whether they were available. */
  boolean tryAcquire(long bytes) {
    long limit = bytes <= SMALL_BYTES ? maxBytes + maxBytes / RESERVE_DIVISOR : maxBytes;
    if (inFlight.addAndGet(bytes) > limit) {
      release(bytes);
      return false;
    }
    if (held.addAndGet(bytes) > maxHeld(limit)) {
      release(bytes);
      free(bytes);
      return false;
    }
    return true;
  }

  private static long maxHeld(long limit) {
    return limit + 2 * limit / 3;
  }

  /** Gives the place of a call back: its response is written, or its caller has gone. */
  void release(long bytes) {
    inFlight.addAndGet(-bytes);
  }

  /** Records that the handler of a call has finished. */
  void free(long bytes) {
    held.addAndGet(-bytes);
  }
}
