package org.wheatwall.core.job.model;

import java.util.Optional;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;

/**
 * A gang of equal tasks that run together or not at all.
 *
 * @param zone availability zone in which it runs
 * @param shape guaranteed shape whose unit it uses, empty for opportunistic work
 * @param tasks number of tasks, 1 to 64
 * @param taskAmount what each task declares to need
 * @param declaredSeconds declared run time
 * @param preemptible whether it may be checkpointed and stopped for others; work under a shape
 *     never is
 * @param urgent whether it goes before all work that is not
 * @param phase what the log says about it
 * @param options what it asks of its hosts and of the order of the queue
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
  /** Largest gang. */
  public static final int MAX_TASKS = 64;

  /** Longest run time that may be declared, seconds. */
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

  /** Returns this job in another phase. */
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

  /** Returns this job with other options. */
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

  /** Returns whether others may reclaim what it holds. */
  public boolean reclaimable() {
    return preemptible && shape.isEmpty();
  }

  /** Returns the accelerators of all tasks together. */
  public int totalAccelerators() {
    return tasks * taskAmount.accelerators();
  }
}
