package org.wheatwall.core.batch.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;

/**
 * A batch job as it was accepted: steps of tasks, run by the workers of one service.
 *
 * @param id identifier that the submitter chose
 * @param queue queue that it came in by
 * @param service service whose workers run it
 * @param workspace workspace that it belongs to
 * @param specification text handed to every task
 * @param steps its steps
 * @param recurrence when its steps run; at once and a single time if empty
 * @param priority class of its queue; 0 is urgent and may preempt the others
 * @param maxAttempts failed runs of a task or gang after which the job has failed
 * @param acceptedAtMs time of acceptance, milliseconds since 1970 on the accepting host's clock
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

  /** Validates. */
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
      requireEarlier(steps.get(i), i);
    }
    if (tasks > MAX_TASKS) {
      throw Refusal.invalid(tasks + " tasks in one job", "use at most " + MAX_TASKS + " tasks");
    }
  }

  private static void requireEarlier(StepSpec step, int position) {
    for (int before : step.after()) {
      if (before < 0 || before >= position) {
        throw Refusal.invalid(
            "step " + position + " waits for step " + before, "name steps that stand before it");
      }
    }
  }

  /** Returns whether the job goes before all jobs that are not urgent. */
  public boolean urgent() {
    return priority == URGENT;
  }

  /** Returns the longest chain of steps by their submitter's guesses, milliseconds. */
  public long declaredCriticalPathMs() {
    long[] untilEndMs = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < steps.size(); i++) {
      long before = 0;
      for (int earlier : steps.get(i).after()) {
        before = Math.max(before, untilEndMs[earlier]);
      }
      untilEndMs[i] = before + steps.get(i).estimateMs();
      longest = Math.max(longest, untilEndMs[i]);
    }
    return longest;
  }

  /** Returns how often its steps run. */
  public int occurrences() {
    return recurrence.map(Recurrence::times).orElse(1);
  }

  /** Returns when an occurrence is due, milliseconds since 1970; empty if at once. */
  public Optional<Long> dueMs(int occurrence) {
    return recurrence.map(times -> times.dueMs(occurrence));
  }
}
