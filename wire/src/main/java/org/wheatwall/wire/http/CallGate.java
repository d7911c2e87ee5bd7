package org.wheatwall.wire.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the calls under way and ends them in two steps: first every answer asks for its connection
 * to be closed; then, with nothing under way, no further call is let in. A call that still arrives
 * on an open connection is refused rather than cut.
 */
final class CallGate {
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;
  private volatile boolean shut;

  /** Lets a call in, unless the gate is shut. */
  boolean tryEnter() {
    inFlight.incrementAndGet();
    if (shut) {
      inFlight.decrementAndGet();
      return false;
    }
    return true;
  }

  /** Notes that the answer to a call is written, or can no longer be. */
  void leave() {
    inFlight.decrementAndGet();
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
  boolean tryShut() {
    if (inFlight.get() == 0) {
      shut = true;
    }
    // A call that entered in between still counts; it is waited for.
    return shut && inFlight.get() == 0;
  }

  /** Returns the number of calls under way. */
  int inFlight() {
    return inFlight.get();
  }
}
