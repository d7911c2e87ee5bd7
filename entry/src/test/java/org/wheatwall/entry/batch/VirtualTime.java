package org.wheatwall.entry.batch;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Runs events in the order of a simulated clock; runs with the same seed are identical. */
final class VirtualTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final SplittableRandom random;
  private long nowMs;
  private long nextSequence;

  private record Event(long atMs, long sequence, Runnable task) {}

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
    events.add(new Event(nowMs + Math.max(0, delayMs), nextSequence++, task));
  }

  void runFor(long ms) {
    long endMs = nowMs + ms;
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = Math.max(nowMs, event.atMs());
      event.task().run();
    }
    nowMs = Math.max(nowMs, endMs);
  }

  /**
   * Advances the clock from within an event that takes {@code ms}, running events due meanwhile.
   */
  void spend(long ms) {
    runFor(ms);
  }
}
