package org.wheatwall.core.batch.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * One step of a batch job: identical tasks that may start once the steps they depend on are done.
 *
 * @param tasks number of tasks
 * @param taskAmount resources that each task needs; processors in thousandths of a core
 * @param estimateMs the submitter's estimate of a task's run time, milliseconds; often far off
 * @param after indexes of earlier steps whose tasks must all be done first
 * @param checkpointing whether a stopped task can resume from its checkpoint
 * @param gang whether the tasks run only together and end together
 * @param sameRack whether the tasks run slowly if spread over several racks
 * @param hostLabel label that a worker must carry
 * @param dataRack rack that holds the data; tasks in other racks run slowly
 * @param spreadLimit maximum number of tasks of the step on one worker, or 0 for no limit
 * @param longRunning whether tasks run until the job is cancelled and are restarted however they
 *     end
 * @param sharing how the tasks tolerate other tasks on their worker
 */
public record StepSpec(
    int tasks,
    ResourceAmount taskAmount,
    int estimateMs,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    Optional<String> hostLabel,
    Optional<String> dataRack,
    int spreadLimit,
    boolean longRunning,
    HostSharing sharing) {
  /** Maximum number of tasks of a step. */
  public static final int MAX_TASKS = 5000;

  /** Validates. */
  public StepSpec {
    Names.requireRange("tasks of a step", tasks, 1, MAX_TASKS);
    Names.requireRange("estimate of a step", estimateMs, 0, Integer.MAX_VALUE);
    Names.requireRange("spread limit of a step", spreadLimit, 0, Integer.MAX_VALUE);
    Objects.requireNonNull(taskAmount);
    Objects.requireNonNull(sharing);
    after = List.copyOf(after);
    if (gang && tasks > Job.MAX_TASKS) {
      throw Refusal.invalid(
          "a gang of " + tasks + " tasks", "use at most " + Job.MAX_TASKS + " tasks in a gang");
    }
  }

  /** Returns the number of groups that start independently: one for a gang, else one per task. */
  public int groups() {
    return gang ? 1 : tasks;
  }

  /** Returns the number of tasks in each group. */
  public int tasksInGroup() {
    return gang ? tasks : 1;
  }
}
