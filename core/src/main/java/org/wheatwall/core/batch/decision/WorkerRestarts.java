package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.WorkerIncarnation;

/** Ends or moves the runs of a worker that has restarted under its identifier. */
final class WorkerRestarts {
  private final TermState term;
  private final RunLifecycle lifecycle;
  private final LostRuns lostRuns;
  private final UnansweredStarts unansweredStarts;

  WorkerRestarts(TermState term, RunLifecycle lifecycle, UnansweredStarts unansweredStarts) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.lostRuns = new LostRuns(term);
    this.unansweredStarts = unansweredStarts;
  }

  /** Ends all incarnations of a worker before the one named {@code later}. */
  void endIncarnationsBefore(String later) {
    for (String earlier : term.workers.incarnations().earlierThan(later)) {
      endIncarnation(earlier, later);
    }
    unansweredStarts.stopAtIncarnation(later);
  }

  private void endIncarnation(String earlier, String later) {
    String heldRuns = lostRuns.describeRunsOn(earlier);
    for (GroupRun run : term.runs.onWorker(earlier)) {
      if (WorkerIncarnation.parse(earlier).startedAtMs().isPresent()) {
        endOrMove(run, earlier, later);
        lifecycle.stopRun(run, "its worker has started again");
      } else {
        moveAll(run, earlier, later);
      }
    }
    term.workers.remove(earlier);
    term.leaseExtensions.onRestarted(earlier, later);
    term.logEvent(RunEvent.Kind.WORKER_RESTARTED, "", later, "it was " + earlier + heldRuns);
  }

  // A run recorded without an incarnation of its worker belongs to the one that is known now.
  private void moveAll(GroupRun run, String earlier, String later) {
    for (MemberRun member : run.members()) {
      if (isActiveOn(earlier, member)) {
        member.moveToIncarnation(later, Optional.empty());
      }
    }
    applyMove(run, earlier, later);
  }

  private void endOrMove(GroupRun run, String earlier, String later) {
    for (MemberRun member : run.members()) {
      if (!isActiveOn(earlier, member)) {
        continue;
      }
      LossKind kind = lostRuns.classifyGone(earlier, run, member);
      if (member.isBoundToIncarnation()) {
        lifecycle.endLostMember(run, member, kind);
      } else {
        member.moveToIncarnation(later, Optional.of(kind));
      }
    }
    applyMove(run, earlier, later);
  }

  private static boolean isActiveOn(String worker, MemberRun member) {
    return member.worker().equals(worker) && !member.ended();
  }

  private void applyMove(GroupRun run, String earlier, String later) {
    term.runs.moveToIncarnation(run, earlier, later);
    term.scheduler.tasksMoved(run.attemptId(), earlier, later);
  }
}
