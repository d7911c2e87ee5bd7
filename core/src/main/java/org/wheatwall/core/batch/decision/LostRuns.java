package org.wheatwall.core.batch.decision;

import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.TaskLosses;

/** What is known and counted of runs that were lost with their workers. */
final class LostRuns {
  private static final int MOST_NAMED = 10;
  // A task that crashes its worker as a rule does so as it begins; one that was seen there for
  // longer is more likely to be a neighbour of the one that did.
  private static final int SEEN_AT_WORK_MS = 500;
  // A crash is noticed at once, by the call that waits at the worker; a cut only as calls time out.
  private static final int CRASH_NOTICED_MS = 500;
  // A task that lasts loses workers to their own faults over days; after such a run it is cleared.
  private static final int LONG_RUN_MS = 30_000;

  private final TermState term;

  LostRuns(TermState term) {
    this.term = term;
  }

  /** Returns how a run was lost with a worker that is gone. */
  LossKind kindOf(String worker, GroupRun run, MemberRun member) {
    WorkerRecord record = term.workers.getOrCreate(worker);
    if (!record.endedWithoutNotice()) {
      return LossKind.PLANNED_SHUTDOWN;
    }
    if (member.phase() == MemberRun.Phase.ORDERED) {
      return LossKind.UNANSWERED_START;
    }
    // What was being stopped may have ended.
    boolean began = member.phase() == MemberRun.Phase.RUNNING && !run.stopping();
    boolean seen = record.lastResponseMs() - member.sinceMs() >= SEEN_AT_WORK_MS;
    // It may have ended, and its worker crashed for another reason, long after the worker fell
    // silent.
    boolean silentLater =
        record.silentSinceMs() != Long.MAX_VALUE
            && record.silentSinceMs() - member.sinceMs() >= CRASH_NOTICED_MS;
    return began && !seen && !silentLater ? LossKind.CRASH_AT_START : LossKind.POSSIBLE_CRASH;
  }

  /** Returns how a run was lost with a worker whose leases have run out without a word from it. */
  LossKind kindOfLapse(String worker) {
    return term.workers.getOrCreate(worker).endedWithoutNotice()
        ? LossKind.POSSIBLE_CRASH
        : LossKind.PLANNED_SHUTDOWN;
  }

  /**
   * Counts a run that was lost against its task. No worker is left to tell that a task failed by
   * crashing it; without this count it would be started again for ever, a worker each time.
   */
  void note(GroupRun run, MemberRun member, LossKind kind) {
    if (!run.launched() || member.phase() == MemberRun.Phase.PLANNED) {
      return;
    }
    JobRuns progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    boolean lasted = term.nowMs - member.sinceMs() >= LONG_RUN_MS;
    GroupState next =
        run.step().longRunning() && lasted
            ? state.withLossesCleared(member.position())
            : state.withLoss(state.run(), member.position(), kind);
    run.setState(next);
    progress.set(run.group(), next);
  }

  /** Tells what a worker may be running, and for how long, so far as it fits a log line. */
  String heldBy(String worker) {
    StringBuilder text = new StringBuilder();
    int count = 0;
    for (GroupRun run : term.runs.on(worker)) {
      for (MemberRun member : run.members()) {
        boolean held = member.worker().equals(worker) && !member.ended();
        if (held && member.phase() != MemberRun.Phase.PLANNED && count++ < MOST_NAMED) {
          text.append(", ").append(run.group().text()).append(" run ").append(run.state().run());
          text.append(" for ").append(Math.max(0, term.nowMs - member.sinceMs())).append(" ms");
        }
      }
    }
    return count == 0 ? ", it held nothing" : text.insert(0, ", it held " + count).toString();
  }

  /** Tells failures and losses of a group, for operators. */
  static String counts(GroupState state) {
    StringBuilder text = new StringBuilder().append(state.failures()).append(" failed");
    for (TaskLosses losses : state.losses()) {
      text.append(", task ").append(losses.position()).append(" lost ").append(losses.lost());
      text.append(" workers, ").append(losses.crashesAtStart()).append(" as it began");
      text.append(", ").append(losses.unansweredStarts()).append(" without an answer");
    }
    return text.toString();
  }
}
