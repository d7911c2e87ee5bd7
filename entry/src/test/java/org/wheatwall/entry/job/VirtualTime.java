package org.wheatwall.entry.job;

import java.util.PriorityQueue;
import org.wheatwall.entry.common.Clock;

/** A virtual clock and event queue; the same seed always gives the same fault schedule. */
final class VirtualTime implements Clock {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private long nowMs = 1_000_000;
  private long order;

  private record Event(long atMs, long order, Runnable action) {}

  void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, order++, action));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs <= endMs) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = endMs;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public long wallMs() {
    return nowMs;
  }
}
