package org.wheatwall.standin.task;

import org.wheatwall.core.common.Refusal;

/**
 * What a task does, carried in the text of its job so that stand-ins need to know nothing else.
 *
 * @param workMs work of each task, milliseconds
 * @param gangSize number of tasks that work only together, 1 for none
 * @param accelerators accelerators that each task takes
 * @param failingRuns runs, from the first, that end failed half-way
 * @param crashesWorker whether each run ends its worker's process soon after it began
 */
public record TaskPlan(
    int workMs, int gangSize, int accelerators, int failingRuns, boolean crashesWorker) {
  private static final int PARTS = 4;
  private static final String CRASHES = "crashes";

  /** Creates the plan of a task that leaves its worker alone. */
  public TaskPlan(int workMs, int gang, int accelerators, int failingRuns) {
    this(workMs, gang, accelerators, failingRuns, false);
  }

  /** Returns a plan whose runs crash their workers. */
  public TaskPlan withWorkerCrash() {
    return new TaskPlan(workMs, gangSize, accelerators, failingRuns, true);
  }

  /** Returns the text that {@link #parse} reads. */
  public String text() {
    String text = workMs + "," + gangSize + "," + accelerators + "," + failingRuns;
    return crashesWorker ? text + "," + CRASHES : text;
  }

  /** Reads a plan. */
  public static TaskPlan parse(String text) {
    String[] parts = text.split(",", -1);
    boolean crashes = parts.length == PARTS + 1 && parts[PARTS].equals(CRASHES);
    if (parts.length != PARTS && !crashes) {
      throw Refusal.invalid("\"" + text + "\" is no plan of a task", "write four numbers");
    }
    return new TaskPlan(
        Integer.parseInt(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        crashes);
  }
}
