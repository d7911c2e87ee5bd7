package org.wheatwall.core.batch.decision;

import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.TaskLosses;

/** What is known and counted of runs that were lost with their workers. */
final class LostRuns {
  private static final int MAX_NAMED_RUNS = 10;
  // A task that crashes its worker as a rule does so as it begins; one that was seen there for
  // longer is more likely to be a neighbour of the one that did.
  private static final int CRASH_AT_START_WINDOW_MS = 500;
  // A crash is noticed at once, by the call that waits at the worker; a cut only as calls time out.
  private static final int CRASH_DETECTION_MS = 500;
  // A task that lasts loses workers to their own faults over days; after such a run it is cleared.
  private static final int LOSS_RESET_RUN_MS = 30_000;

  private final TermState term;

  LostRuns(TermState term) {
    this.term = term;
  }

  /** Returns how a run was lost with a worker that is gone. */
  LossKind classifyGone(String worker, GroupRun run, MemberRun member) {
    WorkerRecord record = term.workers.record(worker);
    if (!record.endsWithoutNotice()) {
      return LossKind.LEFT;
    }
    if (member.phase() == MemberRun.Phase.ORDERED) {
      return LossKind.UNANSWERED_START;
    }
    // What was being stopped may have ended.
    boolean began = member.phase() == MemberRun.Phase.RUNNING && !run.stopping();
    boolean seen =
        record.answeredAtMs() - member.possiblyRunningSinceMs() >= CRASH_AT_START_WINDOW_MS;
    // It may have ended, and its worker crashed for another reason, long after the worker fell
    // silent.
    boolean silentLater =
        record.fellSilentAtMs() != Long.MAX_VALUE
            && record.fellSilentAtMs() - member.possiblyRunningSinceMs() >= CRASH_DETECTION_MS;
    return began && !seen && !silentLater ? LossKind.CRASH_AT_START : LossKind.POSSIBLE_CRASH;
  }

  /** Returns how a run was lost with a worker whose leases have run out without a word from it. */
  LossKind classifyExpired(String worker) {
    return term.workers.record(worker).endsWithoutNotice()
        ? LossKind.POSSIBLE_CRASH
        : LossKind.LEFT;
  }

  /**
   * Counts a run that was lost against its task. No worker is left to tell that a task failed by
   * crashing it; without this count it would be started again for ever, a worker each time.
   */
  void recordLoss(GroupRun run, MemberRun member, LossKind kind) {
    if (!run.launched() || member.phase() == MemberRun.Phase.PLANNED) {
      return;
    }
    JobProgress progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    boolean lasted = term.nowMs - member.possiblyRunningSinceMs() >= LOSS_RESET_RUN_MS;
    GroupState next =
        run.step().longRunning() && lasted
            ? state.lossesForgiven(member.position())
            : state.lostIn(state.run(), member.position(), kind);
    run.setState(next);
    progress.setState(run.group(), next);
  }

  /** Tells what a worker may be running, and for how long, so far as it fits a log line. */
  String describeRunsOn(String worker) {
    StringBuilder text = new StringBuilder();
    int count = 0;
    for (GroupRun run : term.runs.onWorker(worker)) {
      for (MemberRun member : run.members()) {
        boolean held = member.worker().equals(worker) && !member.ended();
        if (held && member.phase() != MemberRun.Phase.PLANNED && count++ < MAX_NAMED_RUNS) {
          text.append(", ").append(run.group().text()).append(" run ").append(run.state().run());
          text.append(" for ")
              .append(Math.max(0, term.nowMs - member.possiblyRunningSinceMs()))
              .append(" ms");
        }
      }
    }
    return count == 0 ? ", it held nothing" : text.insert(0, ", it held " + count).toString();
  }

  /** Tells failures and losses of a group, for operators. */
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
