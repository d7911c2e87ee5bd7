package org.wheatwall.standin.task;

import org.wheatwall.core.common.Refusal;

/**
 * What a task does, carried in the text of its job so that stand-ins need to know nothing else.
 *
 * @param workMs work of each task, milliseconds
 * @param gang number of tasks that work only together, 1 for none
 * @param accelerators accelerators that each task takes
 * @param failingRuns runs, from the first, that end failed half-way
 */
public record TaskPlan(int workMs, int gang, int accelerators, int failingRuns) {
  private static final int PARTS = 4;

  /** Returns the text that {@link #parse} reads. */
  public String text() {
    return workMs + "," + gang + "," + accelerators + "," + failingRuns;
  }

  /** Reads a plan. */
  public static TaskPlan parse(String text) {
    String[] parts = text.split(",", -1);
    if (parts.length != PARTS) {
      throw Refusal.invalid("\"" + text + "\" is no plan of a task", "write four numbers");
    }
    return new TaskPlan(
        Integer.parseInt(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }
}
