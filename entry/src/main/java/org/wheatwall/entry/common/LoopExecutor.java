package org.wheatwall.entry.common;

import java.util.concurrent.Executor;

/**
 * Runs tasks one after another on the thread of a decision loop. Urgent tasks overtake all others
 * that wait: a task whose effect is late must not wait behind work that may be.
 */
public interface LoopExecutor extends Executor {
  /** Runs a task before all tasks that wait and are not urgent; urgent ones keep their order. */
  default void executeUrgent(Runnable task) {
    execute(task);
  }

  /**
   * Runs the urgent tasks that wait now. Called on the loop's thread, by tasks that take long and
   * between steps that leave the state consistent.
   */
  default void runUrgentTasks() {}
}
