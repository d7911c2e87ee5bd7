package org.wheatwall.entry.batch;

/** Runs tasks on the decision loop after a delay. */
public interface LoopTimer {
  /** Runs {@code task} on the decision loop in {@code delayMs} milliseconds. */
  void after(long delayMs, Runnable task);

  /** Runs {@code task} as an urgent task of the decision loop in {@code delayMs} milliseconds. */
  default void afterUrgent(long delayMs, Runnable task) {
    after(delayMs, task);
  }
}
