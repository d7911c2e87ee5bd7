package org.wheatwall.core.job.model;

import java.util.Optional;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;

/**
 * A gang of equal tasks of which either all run or none.
 *
 * @param zone availability zone in which it runs
 * @param shape guaranteed shape of which it uses a unit, empty for opportunistic work
 * @param tasks number of tasks, 1 to 64
 * @param taskAmount resources that each task requests
 * @param declaredSeconds declared run time, seconds
 * @param preemptible whether it may be checkpointed and stopped to free capacity; ignored for jobs
 *     that use a guaranteed shape, which are never preempted
 * @param urgent whether it is scheduled before all work that is not urgent
 * @param phase phase as recorded in the log
 * @param options host constraints and priority
 */
public record Job(
    Labels labels,
    String workspace,
    String zone,
    Optional<String> shape,
    int tasks,
    ResourceAmount taskAmount,
    Adjacency adjacency,
    int declaredSeconds,
    boolean preemptible,
    boolean urgent,
    JobPhase phase,
    JobOptions options)
    implements Resource {
  /** Maximum number of tasks in a gang. */
  public static final int MAX_TASKS = 64;

  /** Maximum declared run time, seconds. */
  public static final int MAX_SECONDS = 30 * 24 * 3600;

  /** Validates and applies defaults. */
  public Job {
    labels = labels == null ? Labels.NONE : labels;
    shape = shape == null ? Optional.empty() : shape;
    adjacency = adjacency == null ? Adjacency.ANY : adjacency;
    phase = phase == null ? JobPhase.SUBMITTED : phase;
    options = options == null ? JobOptions.NONE : options;
    Names.require("workspace", workspace);
    Names.require("zone", zone);
    Names.requireRange("tasks", tasks, 1, MAX_TASKS);
    Names.requireRange("declaredSeconds", declaredSeconds, 1, MAX_SECONDS);
    if (taskAmount == null) {
      throw Refusal.invalid("taskAmount is missing", "declare processors, memoryMb, accelerators");
    }
  }

  /** Creates a job without options. */
  public Job(
      Labels labels,
      String workspace,
      String zone,
      Optional<String> shape,
      int tasks,
      ResourceAmount taskAmount,
      Adjacency adjacency,
      int declaredSeconds,
      boolean preemptible,
      boolean urgent,
      JobPhase phase) {
    this(
        labels,
        workspace,
        zone,
        shape,
        tasks,
        taskAmount,
        adjacency,
        declaredSeconds,
        preemptible,
        urgent,
        phase,
        JobOptions.NONE);
  }

  /** Returns a copy of this job in another phase. */
  public Job withPhase(JobPhase next) {
    return new Job(
        labels,
        workspace,
        zone,
        shape,
        tasks,
        taskAmount,
        adjacency,
        declaredSeconds,
        preemptible,
        urgent,
        next,
        options);
  }

  /** Returns a copy of this job with other options. */
  public Job withOptions(JobOptions next) {
    return new Job(
        labels,
        workspace,
        zone,
        shape,
        tasks,
        taskAmount,
        adjacency,
        declaredSeconds,
        preemptible,
        urgent,
        phase,
        next);
  }

  /** Returns whether the capacity that it holds may be reclaimed for other jobs. */
  public boolean reclaimable() {
    return preemptible && shape.isEmpty();
  }

  /** Returns the total number of accelerators of all tasks. */
  public int totalAccelerators() {
    return tasks * taskAmount.accelerators();
  }
}
