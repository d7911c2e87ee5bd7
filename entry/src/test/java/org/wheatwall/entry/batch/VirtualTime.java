package org.wheatwall.entry.batch;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Runs events in the order of a simulated clock; the same seed gives the same run. */
final class VirtualTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private long nowMs;
  private long number;

  private record Event(long atMs, long number, Runnable task) {}

  VirtualTime(long seed) {
    random = new SplittableRandom(seed);
    nowMs = 1_000_000;
  }

  long nowMs() {
    return nowMs;
  }

  SplittableRandom random() {
    return random;
  }

  void after(long delayMs, Runnable task) {
    events.add(new Event(nowMs + Math.max(0, delayMs), number++, task));
  }

  void runFor(long ms) {
    long end = nowMs + ms;
    while (!events.isEmpty() && events.peek().atMs() <= end) {
      Event event = events.poll();
      nowMs = Math.max(nowMs, event.atMs());
      event.task().run();
    }
    nowMs = Math.max(nowMs, end);
  }

  /** Lets time pass inside an event, as one that takes long; what is due meanwhile happens. */
  void spend(long ms) {
    runFor(ms);
  }
}
