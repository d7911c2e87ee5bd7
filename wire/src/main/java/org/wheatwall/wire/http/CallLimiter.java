package org.wheatwall.wire.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the calls in flight and drains them in two steps: first every response requests that its
 * connection be closed; then, with no call in flight, no further call is admitted. A call that
 * still arrives on an open connection is refused, so that its caller gets a response.
 */
final class CallLimiter {
  /**
   * What a call holds in memory while it is in flight.
   *
   * @param bodyBytes size of the body, bytes
   * @param headerBytes estimated size of the header lines, bytes
   */
  record CallSize(int bodyBytes, int headerBytes) {}

  /** Whether a call is admitted. */
  enum Admission {
    ADMITTED,
    /** As many calls or bytes as the limits allow are in flight. */
    LIMIT_REACHED,
    /** The server is stopping. */
    CLOSED
  }

  private final int maxCalls;
  private final ByteBudget bodies;
  private final ByteBudget headers;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong abandoned = new AtomicLong();
  private volatile boolean draining;
  private volatile boolean closed;

  CallLimiter(ServerLimits limits) {
    maxCalls = limits.maxCalls();
    bodies = new ByteBudget(limits.maxCallBytes());
    headers = new ByteBudget(limits.maxHeaderBytes());
  }

  /** Admits a call, unless closed or at a limit. */
  Admission admit(CallSize size) {
    int calls = inFlight.incrementAndGet();
    if (closed) {
      inFlight.decrementAndGet();
      return Admission.CLOSED;
    }
    if (calls > maxCalls || !tryAcquire(size)) {
      inFlight.decrementAndGet();
      return Admission.LIMIT_REACHED;
    }
    return Admission.ADMITTED;
  }

  private boolean tryAcquire(CallSize size) {
    if (!bodies.tryAcquire(size.bodyBytes())) {
      return false;
    }
    if (!headers.tryAcquire(size.headerBytes())) {
      bodies.release(size.bodyBytes());
      bodies.free(size.bodyBytes());
      return false;
    }
    return true;
  }

  /** Records that a caller closed its connection before the response to its call was written. */
  void recordAbandoned() {
    abandoned.incrementAndGet();
  }

  /** Returns how many calls were abandoned by their callers. */
  long abandoned() {
    return abandoned.get();
  }

  /** Records that the response to a call is written, or can no longer be. */
  void release(CallSize size) {
    bodies.release(size.bodyBytes());
    headers.release(size.headerBytes());
    inFlight.decrementAndGet();
  }

  /** Records that the handler of an admitted call has finished, so that its memory is free. */
  void free(CallSize size) {
    bodies.free(size.bodyBytes());
    headers.free(size.headerBytes());
  }

  /** Requests that connections be closed after their next response. */
  void drain() {
    draining = true;
  }

  /** Returns whether connections are to be closed after their next response. */
  boolean isDraining() {
    return draining;
  }

  /** Stops admitting if no call is in flight; returns whether it is closed with none in flight. */
  boolean tryClose() {
    if (inFlight.get() == 0) {
      closed = true;
    }
    // A call that was admitted in between is in flight and must finish first.
    return closed && inFlight.get() == 0;
  }

  /** Returns the number of calls in flight. */
  int inFlight() {
    return inFlight.get();
  }
}
