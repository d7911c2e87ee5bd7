package org.wheatwall.standin.task;

import org.wheatwall.core.common.Refusal;

/**
 * What a task does, encoded in the job's specification so that stand-ins need no other input.
 *
 * @param workMs run time of each task, milliseconds
 * @param gangSize number of tasks that make progress only while all of them run, 1 for no gang
 * @param accelerators accelerators that each task uses
 * @param failingRuns number of runs, from the first, that fail half-way
 * @param crashesWorker whether each run crashes its worker's process soon after its start
 */
public record TaskPlan(
    int workMs, int gangSize, int accelerators, int failingRuns, boolean crashesWorker) {
  private static final int FIELDS = 4;
  private static final String CRASHES = "crashes";

  /** Creates the plan of a task that does not crash its worker. */
  public TaskPlan(int workMs, int gangSize, int accelerators, int failingRuns) {
    this(workMs, gangSize, accelerators, failingRuns, false);
  }

  /** Returns this plan with runs that crash their workers. */
  public TaskPlan withWorkerCrash() {
    return new TaskPlan(workMs, gangSize, accelerators, failingRuns, true);
  }

  /** Returns the encoding that {@link #parse} reads. */
  public String text() {
    String text = workMs + "," + gangSize + "," + accelerators + "," + failingRuns;
    return crashesWorker ? text + "," + CRASHES : text;
  }

  /** Parses the encoding of {@link #text}. */
  public static TaskPlan parse(String text) {
    String[] fields = text.split(",", -1);
    boolean crashes = fields.length == FIELDS + 1 && fields[FIELDS].equals(CRASHES);
    if (fields.length != FIELDS && !crashes) {
      throw Refusal.invalid(
          "\"" + text + "\" is not a task plan", "write four numbers separated by commas");
    }
    return new TaskPlan(
        Integer.parseInt(fields[0]),
        Integer.parseInt(fields[1]),
        Integer.parseInt(fields[2]),
        Integer.parseInt(fields[3]),
        crashes);
  }
}
