package org.wheatwall.core.batch.model;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a worker says about its tasks.
 *
 * @param startedAtMs when this life of the worker began, Unix milliseconds; empty if it does not
 *     say
 * @param clockMs the worker's clock when it answered, milliseconds
 * @param running tasks that it holds
 * @param ended ends that were not yet acknowledged, in rising order of their number
 */
public record WorkerInventory(
    OptionalLong startedAtMs, long clockMs, List<RunningTask> running, List<EndedTask> ended) {
  /** Copies the lists. */
  public WorkerInventory {
    Objects.requireNonNull(startedAtMs);
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** Creates the report of a worker that does not say when its life began. */
  public WorkerInventory(long clockMs, List<RunningTask> running, List<EndedTask> ended) {
    this(OptionalLong.empty(), clockMs, running, ended);
  }

  /**
   * A task that the worker holds.
   *
   * @param checkpoint latest checkpoint, empty if none
   * @param percent how far it is
   */
  public record RunningTask(TaskName task, int run, String checkpoint, int percent) {}

  /**
   * A run that has ended.
   *
   * @param number rises by one for each end in a life of the worker
   * @param checkpoint latest checkpoint, empty if none
   */
  public record EndedTask(long number, TaskName task, int run, EndKind kind, String checkpoint) {}
}
