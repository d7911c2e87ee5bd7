package org.wheatwall.core.batch.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;

/**
 * An accepted batch job: steps of tasks that are run by the workers of one service.
 *
 * @param id identifier chosen by the submitter
 * @param queue queue to which it was submitted
 * @param service service whose workers run its tasks
 * @param workspace workspace to which it belongs
 * @param specification text passed to every task
 * @param steps its steps
 * @param recurrence when its steps run; empty to run them once and immediately
 * @param priority priority of its queue; 0 is urgent and may preempt jobs of other priorities
 * @param maxAttempts failed runs of a task or gang after which the job fails
 * @param acceptedAtMs time of acceptance, Unix milliseconds on the accepting host's clock
 */
public record BatchJob(
    String id,
    String queue,
    String service,
    String workspace,
    String specification,
    List<StepSpec> steps,
    Optional<Recurrence> recurrence,
    int priority,
    int maxAttempts,
    long acceptedAtMs) {
  /** Priority of urgent jobs. */
  public static final int URGENT = 0;

  private static final int MAX_STEPS = 1000;
  private static final int MAX_TASKS = 20_000;

  /** Validates the job. */
  public BatchJob {
    Objects.requireNonNull(id);
    Objects.requireNonNull(queue);
    Objects.requireNonNull(service);
    Objects.requireNonNull(workspace);
    Objects.requireNonNull(specification);
    steps = List.copyOf(steps);
    Names.requireRange("steps", steps.size(), 1, MAX_STEPS);
    Names.requireRange("priority", priority, 0, 1000);
    Names.requireRange("attempts", maxAttempts, 1, Integer.MAX_VALUE);
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      tasks += steps.get(i).tasks();
      requireEarlierDependencies(steps.get(i), i);
    }
    if (tasks > MAX_TASKS) {
      throw Refusal.invalid(tasks + " tasks in one job", "use at most " + MAX_TASKS + " tasks");
    }
  }

  private static void requireEarlierDependencies(StepSpec step, int position) {
    for (int dependency : step.after()) {
      if (dependency < 0 || dependency >= position) {
        throw Refusal.invalid(
            "step " + position + " waits for step " + dependency,
            "name steps that stand before it");
      }
    }
  }

  /** Returns whether the job takes precedence over all jobs that are not urgent. */
  public boolean urgent() {
    return priority == URGENT;
  }

  /** Returns the length of the critical path by the submitter's estimates, milliseconds. */
  public long declaredCriticalPathMs() {
    long[] pathEndMs = new long[steps.size()];
    long longestMs = 0;
    for (int i = 0; i < steps.size(); i++) {
      long startMs = 0;
      for (int dependency : steps.get(i).after()) {
        startMs = Math.max(startMs, pathEndMs[dependency]);
      }
      pathEndMs[i] = startMs + steps.get(i).estimateMs();
      longestMs = Math.max(longestMs, pathEndMs[i]);
    }
    return longestMs;
  }

  /** Returns the number of times that its steps run. */
  public int occurrences() {
    return recurrence.map(Recurrence::times).orElse(1);
  }

  /** Returns when an occurrence is due, Unix milliseconds, or empty if immediately. */
  public Optional<Long> dueMs(int occurrence) {
    return recurrence.map(rule -> rule.dueMs(occurrence));
  }
}
