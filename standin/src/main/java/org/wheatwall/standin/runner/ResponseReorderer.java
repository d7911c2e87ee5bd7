package org.wheatwall.standin.runner;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Lets chosen answers out only after the next answer to a later request has gone. */
final class ResponseReorderer {
  private static final long LONGEST_HOLD_MS = 50;

  private final Deque<Runnable> held = new ArrayDeque<>();

  /** Sends an answer now, and those that were held for it after it. */
  void send(Runnable answer) {
    answer.run();
    Runnable next = poll();
    while (next != null) {
      next.run();
      next = poll();
    }
  }

  /** Holds an answer until another has gone, or for a short time if none goes. */
  void hold(Runnable answer, EventExecutor executor) {
    synchronized (held) {
      held.add(answer);
    }
    executor.schedule(() -> sendHeld(answer), LONGEST_HOLD_MS, TimeUnit.MILLISECONDS);
  }

  private void sendHeld(Runnable answer) {
    boolean still;
    synchronized (held) {
      still = held.remove(answer);
    }
    if (still) {
      answer.run();
    }
  }

  private Runnable poll() {
    synchronized (held) {
      return held.poll();
    }
  }
}
