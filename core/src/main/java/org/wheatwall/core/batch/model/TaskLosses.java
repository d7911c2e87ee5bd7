package org.wheatwall.core.batch.model;

import java.util.Objects;

/**
 * How often runs of one task were lost with their worker. A task that crashes its workers takes all
 * that runs beside it with it, and no worker is left to report it as failed; so these runs count
 * apart from failures, and as durably.
 *
 * @param position position of the task in its group
 * @param lost runs under which a worker may have crashed
 * @param crashesAtStart those of them that a crash ended as they began
 * @param unansweredStarts those of them whose start was not answered
 * @param lastRun number of the latest run that was counted; each counts once
 */
public record TaskLosses(
    int position, int lost, int crashesAtStart, int unansweredStarts, int lastRun) {
  // One may be chance or a neighbour's fault; a second one, away from other suspects, hardly is.
  private static final int MOST_CRASHES_AT_START = 1;
  // A task that crashes its workers later than as it begins, or before its start is answered, looks
  // like its neighbours, so it takes more to tell. It is never started a third time after three
  // crashes, one start that ended otherwise included.
  private static final int MOST_LOST = 3;
  private static final int SUSPECT_LOST = 2;

  /** Returns the losses of a task of which no run was lost. */
  public static TaskLosses none(int position) {
    return new TaskLosses(position, 0, 0, 0, 0);
  }

  /** Returns the losses after those of {@code run}, which counts once. */
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

  /** Returns whether the task may be what crashed a worker. */
  public boolean suspect() {
    return crashesAtStart > 0 || unansweredStarts > 0 || lost >= SUSPECT_LOST;
  }

  /** Returns whether it has cost so many workers that it is not started again. */
  public boolean hasTooManyLosses() {
    return crashesAtStart > MOST_CRASHES_AT_START || lost > MOST_LOST;
  }
}
