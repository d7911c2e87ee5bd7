package org.wheatwall.core.batch.model;

import java.util.Objects;

/**
 * Counts the runs of one task that were lost with their workers. A task that crashes its worker
 * ends all other tasks there too, and no worker is left to report a failure. Such runs are
 * therefore counted separately from failures, and as durably.
 *
 * @param position position of the task in its group
 * @param lost runs during which a worker may have crashed
 * @param crashesAtStart those of them that a crash ended at their start
 * @param unansweredStarts those of them whose start got no response
 * @param lastRun number of the latest counted run; each counts once
 */
public record TaskLosses(
    int position, int lost, int crashesAtStart, int unansweredStarts, int lastRun) {
  // One crash may be coincidence or caused by another task on the worker. A second one hardly is,
  // since tasks under suspicion are kept on separate workers.
  private static final int MAX_CRASHES_AT_START = 1;
  // A task that crashes its workers some time after its start, or before the response to the start,
  // cannot be distinguished from the other tasks on them, so more losses are needed. After three
  // crashes it is never started a third time, even if one start among them ended otherwise.
  private static final int MAX_LOST = 3;
  private static final int SUSPECT_LOST = 2;

  /** Returns the losses of a task that has lost no run. */
  public static TaskLosses none(int position) {
    return new TaskLosses(position, 0, 0, 0, 0);
  }

  /** Returns the losses with {@code run} counted; each run counts once, planned shutdowns never. */
  public TaskLosses withLoss(LossKind kind, int run) {
    Objects.requireNonNull(kind);
    if (run <= lastRun || kind == LossKind.PLANNED_SHUTDOWN) {
      return this;
    }
    int atStart = kind == LossKind.CRASH_AT_START ? 1 : 0;
    int unanswered = kind == LossKind.UNANSWERED_START ? 1 : 0;
    return new TaskLosses(
        position, lost + 1, crashesAtStart + atStart, unansweredStarts + unanswered, run);
  }

  /** Returns whether the task is suspected of crashing workers. */
  public boolean suspect() {
    return crashesAtStart > 0 || unansweredStarts > 0 || lost >= SUSPECT_LOST;
  }

  /** Returns whether the task has lost so many workers that it is not started again. */
  public boolean hasTooManyLosses() {
    return crashesAtStart > MAX_CRASHES_AT_START || lost > MAX_LOST;
  }
}
