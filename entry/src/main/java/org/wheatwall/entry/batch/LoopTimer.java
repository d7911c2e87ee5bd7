package org.wheatwall.entry.batch;

/** Runs tasks on the decision loop after a delay. */
public interface LoopTimer {
  /** Runs {@code task} on the decision loop in {@code delayMs} milliseconds. */
  void after(long delayMs, Runnable task);
}
