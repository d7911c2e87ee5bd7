package org.wheatwall.core.gang.model;

import java.util.List;
import java.util.Optional;

/**
 * The complete inventory of a worker at one point in time. Because it is complete, lost responses
 * do no harm: the decider compares it with the desired state and repeats the missing operations.
 *
 * @param host name of the worker
 * @param clockMs the worker's monotonic clock, milliseconds
 * @param epoch highest epoch of a decider whose operations the worker has carried out
 * @param refusal why the operations of this exchange were not carried out, empty if they were
 * @param tasks parts of gangs on the worker, none if {@code unchanged}
 * @param version version of the inventory; differs after every change, also from all versions of
 *     earlier incarnations of the worker; 0 from a worker that does not count versions
 * @param unchanged whether the inventory still has the version that the decider named
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

  /**
   * Returns this report, with the inventory of {@code known} if this one says that nothing changed;
   * empty if {@code known} has another version.
   */
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
