package org.wheatwall.app.compare.live;

import java.util.PriorityQueue;

/** The clock of a live day and what is to happen on it; equal times in the order of the calls. */
final class LiveClock {
  private final PriorityQueue<Later> later = new PriorityQueue<>();
  private long nowMs;
  private long order;

  private record Later(long atMs, long order, Runnable task) implements Comparable<Later> {
    @Override
    public int compareTo(Later other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable task) {
    later.add(new Later(atMs, order++, task));
  }

  void after(long delayMs, Runnable task) {
    at(nowMs + delayMs, task);
  }

  /** Goes on to a time and does what is due by then. */
  void goTo(long atMs) {
    nowMs = atMs;
    while (!later.isEmpty() && later.peek().atMs() <= nowMs) {
      later.poll().task().run();
    }
  }
}
