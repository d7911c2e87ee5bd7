package org.wheatwall.core.batch.decision;

import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.TaskLosses;

/** Classifies and counts runs that were lost with their workers. */
final class LostRuns {
  private static final int MAX_NAMED_RUNS = 10;
  // A task that crashes its worker usually does so at its start. A task that was reported running
  // for longer more likely ran beside the one that caused the crash.
  private static final int CRASH_AT_START_WINDOW_MS = 500;
  // A crash is detected at once, because it breaks the pending call to the worker; a network
  // partition only when calls time out.
  private static final int CRASH_DETECTION_MS = 500;
  // A long-running task loses workers to unrelated faults over days; its losses are cleared after a
  // run of this length.
  private static final int LOSS_RESET_RUN_MS = 30_000;

  private final TermState term;

  LostRuns(TermState term) {
    this.term = term;
  }

  /** Returns how a run was lost with a worker whose process is gone. */
  LossKind classifyGone(String worker, GroupRun run, MemberRun member) {
    WorkerRecord record = term.workers.getOrCreate(worker);
    if (!record.endedWithoutNotice()) {
      return LossKind.PLANNED_SHUTDOWN;
    }
    if (member.phase() == MemberRun.Phase.ORDERED) {
      return LossKind.UNANSWERED_START;
    }
    // A run that was being stopped may have ended before the crash.
    boolean started = member.phase() == MemberRun.Phase.RUNNING && !run.stopping();
    boolean reportedRunning =
        record.lastResponseMs() - member.possiblyRunningSinceMs() >= CRASH_AT_START_WINDOW_MS;
    // If the worker stopped responding well after the start, the task may have ended before the
    // worker crashed for another reason.
    boolean silentAfterStart =
        record.silentSinceMs() != Long.MAX_VALUE
            && record.silentSinceMs() - member.possiblyRunningSinceMs() >= CRASH_DETECTION_MS;
    return started && !reportedRunning && !silentAfterStart
        ? LossKind.CRASH_AT_START
        : LossKind.POSSIBLE_CRASH;
  }

  /** Returns how a run was lost with a worker that was silent until its leases expired. */
  LossKind classifyExpired(String worker) {
    return term.workers.getOrCreate(worker).endedWithoutNotice()
        ? LossKind.POSSIBLE_CRASH
        : LossKind.PLANNED_SHUTDOWN;
  }

  /**
   * Counts a lost run against its task. A crashed worker cannot report that a task failed by
   * crashing it; without this count the task would be restarted forever and crash one worker after
   * another.
   */
  void recordLoss(GroupRun run, MemberRun member, LossKind kind) {
    if (!run.launched() || member.phase() == MemberRun.Phase.PLANNED) {
      return;
    }
    JobProgress progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    boolean ranLongEnough = term.nowMs - member.possiblyRunningSinceMs() >= LOSS_RESET_RUN_MS;
    GroupState updated =
        run.step().longRunning() && ranLongEnough
            ? state.withLossesCleared(member.position())
            : state.withLoss(state.run(), member.position(), kind);
    run.setState(updated);
    progress.setState(run.group(), updated);
  }

  /** Describes the runs a worker may have and their durations, limited to fit a log line. */
  String describeRunsOn(String worker) {
    StringBuilder text = new StringBuilder();
    int count = 0;
    for (GroupRun run : term.runs.onWorker(worker)) {
      for (MemberRun member : run.members()) {
        boolean mayRunOnWorker = member.worker().equals(worker) && !member.ended();
        if (mayRunOnWorker
            && member.phase() != MemberRun.Phase.PLANNED
            && count++ < MAX_NAMED_RUNS) {
          text.append(", ").append(run.group().text()).append(" run ").append(run.state().run());
          text.append(" for ")
              .append(Math.max(0, term.nowMs - member.possiblyRunningSinceMs()))
              .append(" ms");
        }
      }
    }
    return count == 0 ? ", it held nothing" : text.insert(0, ", it held " + count).toString();
  }

  /** Describes the failures and losses of a group, for logs. */
  static String describeCounts(GroupState state) {
    StringBuilder text = new StringBuilder().append(state.failures()).append(" failed");
    for (TaskLosses losses : state.losses()) {
      text.append(", task ").append(losses.position()).append(" lost ").append(losses.lost());
      text.append(" workers, ").append(losses.crashesAtStart()).append(" as it began");
      text.append(", ").append(losses.unansweredStarts()).append(" without an answer");
    }
    return text.toString();
  }
}
