package org.wheatwall.entry.batch;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.task.TaskPlan;

/** Jobs of one step for simulated workers. */
final class SimulatedJobs {
  /** A caller of the workspace of all jobs. */
  static final CancelScope ANY_OWNER = new CancelScope("workspace", Optional.empty());

  private static final int MAX_ATTEMPTS = 4;

  private SimulatedJobs() {}

  /** Returns the identifier of a numbered job. */
  static String id(int number) {
    return String.format("%016x", number);
  }

  /** Returns a job of one task. */
  static BatchJob singleTask(String id, int workMs, int accelerators, int priority, long nowMs) {
    return job(id, 1, false, workMs, accelerators, priority, nowMs);
  }

  /** Returns a job of some tasks of one accelerator that run together. */
  static BatchJob gang(String id, int tasks, int workMs, int priority, long nowMs) {
    return job(id, tasks, true, workMs, 1, priority, nowMs);
  }

  private static BatchJob job(
      String id, int tasks, boolean gang, int workMs, int accelerators, int priority, long nowMs) {
    StepSpec step =
        new StepSpec(
            tasks,
            new ResourceAmount(1000, 100, accelerators),
            workMs,
            List.of(),
            false,
            gang,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    return new BatchJob(
        id,
        "queue",
        "service",
        "workspace",
        new TaskPlan(workMs, 1, accelerators, 0).text(),
        List.of(step),
        Optional.empty(),
        priority,
        MAX_ATTEMPTS,
        nowMs);
  }
}
