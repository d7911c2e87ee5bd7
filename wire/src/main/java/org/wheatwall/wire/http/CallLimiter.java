package org.wheatwall.wire.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the calls under way and ends them in two steps: first every answer asks for its connection
 * to be closed; then, with nothing under way, no further call is let in. A call that still arrives
 * on an open connection is refused rather than cut.
 */
final class CallLimiter {
  /** Whether a call may go on. */
  enum Entry {
    ADMITTED,
    /** As much as the limits allow is under way. */
    FULL,
    /** The process is about to stop. */
    SHUT
  }

  private final ServerLimits limits;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong bytes = new AtomicLong();
  private volatile boolean draining;
  private volatile boolean closed;

  CallLimiter(ServerLimits limits) {
    this.limits = limits;
  }

  /** Lets a call with a body of {@code size} bytes in, unless the gate is shut or full. */
  Entry admit(int size) {
    int calls = inFlight.incrementAndGet();
    long held = bytes.addAndGet(size);
    if (closed) {
      release(size);
      return Entry.SHUT;
    }
    if (calls > limits.maxCalls() || held > limits.maxCallBytes()) {
      release(size);
      return Entry.FULL;
    }
    return Entry.ADMITTED;
  }

  /** Notes that the answer to a call is written, or can no longer be. */
  void release(int size) {
    inFlight.decrementAndGet();
    bytes.addAndGet(-size);
  }

  /** Asks for connections to be closed from now on. */
  void drain() {
    draining = true;
  }

  /** Returns whether connections are to be closed after their answer. */
  boolean isDraining() {
    return draining;
  }

  /** Shuts the gate if no call is under way; returns whether it is shut and nothing is. */
  boolean tryClose() {
    if (inFlight.get() == 0) {
      closed = true;
    }
    // A call that entered in between still counts; it is waited for.
    return closed && inFlight.get() == 0;
  }

  /** Returns the number of calls under way. */
  int inFlight() {
    return inFlight.get();
  }
}
