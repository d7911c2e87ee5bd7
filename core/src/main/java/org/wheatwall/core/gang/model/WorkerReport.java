package org.wheatwall.core.gang.model;

import java.util.List;
import java.util.Optional;

/**
 * The whole inventory of a worker at one moment. Being whole, it makes lost answers harmless: the
 * decider compares it with what it wants and repeats what is missing.
 *
 * @param host worker
 * @param clockMs the worker's own monotonic clock, milliseconds
 * @param epoch highest epoch of a decider that the worker has obeyed
 * @param refusal why the operations of this exchange were not carried out, empty if they were
 * @param tasks parts of gangs on the worker
 */
public record WorkerReport(
    String host, long clockMs, long epoch, Optional<String> refusal, List<TaskReport> tasks) {
  /** Copies the list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
    refusal = refusal == null ? Optional.empty() : refusal;
  }

  /** Returns the report on one attempt. */
  public Optional<TaskReport> task(String attemptId) {
    return tasks.stream().filter(task -> task.attemptId().equals(attemptId)).findFirst();
  }
}
