package org.wheatwall.core.batch.model;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A worker's report of its tasks.
 *
 * @param startedAtMs start of this incarnation of the worker, Unix milliseconds; empty if not
 *     reported
 * @param clockMs the worker's clock at its response, milliseconds
 * @param running tasks that it runs
 * @param ended ended runs that have not been acknowledged, by ascending number
 */
public record WorkerInventory(
    OptionalLong startedAtMs, long clockMs, List<RunningTask> running, List<EndedTask> ended) {
  /** Copies the lists. */
  public WorkerInventory {
    Objects.requireNonNull(startedAtMs);
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** Creates the report of a worker that does not report when its incarnation started. */
  public WorkerInventory(long clockMs, List<RunningTask> running, List<EndedTask> ended) {
    this(OptionalLong.empty(), clockMs, running, ended);
  }

  /**
   * A task that the worker runs.
   *
   * @param checkpoint latest checkpoint, or empty if none
   * @param percent progress in percent
   */
  public record RunningTask(TaskName task, int run, String checkpoint, int percent) {}

  /**
   * A run that has ended.
   *
   * @param number number of the end, which rises by one for each end in an incarnation of the
   *     worker
   * @param checkpoint latest checkpoint, or empty if none
   */
  public record EndedTask(long number, TaskName task, int run, EndKind kind, String checkpoint) {}
}
