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
 * @param tasks parts of gangs on the worker, none if {@code unchanged}
 * @param version version of the inventory; another one after every change of it, and never one that
 *     an earlier life of the worker had; 0 from a worker that does not count versions
 * @param unchanged whether the inventory is the one of the version that the decider named
 */
public record WorkerReport(
    String host,
    long clockMs,
    long epoch,
    Optional<String> refusal,
    List<TaskReport> tasks,
    long version,
    boolean unchanged) {
  /** Copies the list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
    refusal = refusal == null ? Optional.empty() : refusal;
  }

  /** Returns this report with the inventory of {@code known}, if it says that nothing changed. */
  public Optional<WorkerReport> withInventoryOf(Optional<WorkerReport> known) {
    if (!unchanged) {
      return Optional.of(this);
    }
    return known
        .filter(earlier -> earlier.version() == version)
        .map(
            earlier ->
                new WorkerReport(host, clockMs, epoch, refusal, earlier.tasks(), version, false));
  }

  /** Returns the report on one attempt. */
  public Optional<TaskReport> task(String attemptId) {
    return tasks.stream().filter(task -> task.attemptId().equals(attemptId)).findFirst();
  }
}
