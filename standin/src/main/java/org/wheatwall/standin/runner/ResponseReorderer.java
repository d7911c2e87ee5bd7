package org.wheatwall.standin.runner;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Holds back selected responses until the response to a later request has been sent. */
final class ResponseReorderer {
  private static final long MAX_HOLD_MS = 50;

  private final Deque<Runnable> held = new ArrayDeque<>();

  /** Sends a response now and then all responses that were held back. */
  void send(Runnable response) {
    response.run();
    Runnable next = poll();
    while (next != null) {
      next.run();
      next = poll();
    }
  }

  /** Holds a response back until another one is sent, but for {@link #MAX_HOLD_MS} at most. */
  void hold(Runnable response, EventExecutor executor) {
    synchronized (held) {
      held.add(response);
    }
    executor.schedule(() -> sendHeld(response), MAX_HOLD_MS, TimeUnit.MILLISECONDS);
  }

  private void sendHeld(Runnable response) {
    boolean wasHeld;
    synchronized (held) {
      wasHeld = held.remove(response);
    }
    if (wasHeld) {
      response.run();
    }
  }

  private Runnable poll() {
    synchronized (held) {
      return held.poll();
    }
  }
}
