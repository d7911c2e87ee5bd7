package org.wheatwall.app.compare.live;

import java.util.PriorityQueue;

/** A simulated clock that runs scheduled tasks; tasks of equal times run in scheduling order. */
final class LiveClock {
  private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
  private long nowMs;
  private long order;

  private record ScheduledTask(long atMs, long order, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable task) {
    scheduledTasks.add(new ScheduledTask(atMs, order++, task));
  }

  void after(long delayMs, Runnable task) {
    at(nowMs + delayMs, task);
  }

  /** Advances the clock to {@code atMs} and runs the tasks that are due. */
  void advanceTo(long atMs) {
    nowMs = atMs;
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMs() <= nowMs) {
      scheduledTasks.poll().task().run();
    }
  }
}
