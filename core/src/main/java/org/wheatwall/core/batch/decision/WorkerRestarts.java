package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.WorkerIncarnation;

/** What becomes of runs on a worker that has started again under its identifier. */
final class WorkerRestarts {
  private final TermState term;
  private final RunLifecycle lifecycle;
  private final LostRuns losses;
  private final UnansweredStarts unanswered;

  WorkerRestarts(TermState term, RunLifecycle lifecycle, UnansweredStarts unanswered) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.losses = new LostRuns(term);
    this.unanswered = unanswered;
  }

  /** Ends all lives of a worker before the one named {@code later}. */
  void endIncarnationsBefore(String later) {
    for (String earlier : term.workers.incarnations().earlierThan(later)) {
      endLife(earlier, later);
    }
    unanswered.stopAt(later);
  }

  private void endLife(String earlier, String later) {
    String held = losses.heldBy(earlier);
    for (GroupRun run : term.runs.on(earlier)) {
      if (WorkerIncarnation.parse(earlier).startedAtMs().isPresent()) {
        endOrMove(run, earlier, later);
        lifecycle.stopRun(run, "its worker has started again");
      } else {
        moveAll(run, earlier, later);
      }
    }
    term.workers.remove(earlier);
    term.note(RunEvent.Kind.WORKER_RESTARTED, "", later, "it was " + earlier + held);
  }

  // Whoever wrote a run down without the life of its worker meant the one that is known now.
  private void moveAll(GroupRun run, String earlier, String later) {
    for (MemberRun member : run.members()) {
      if (isOn(earlier, member)) {
        member.moveTo(later, Optional.empty());
      }
    }
    moved(run, earlier, later);
  }

  private void endOrMove(GroupRun run, String earlier, String later) {
    for (MemberRun member : run.members()) {
      if (!isOn(earlier, member)) {
        continue;
      }
      LossKind kind = losses.kindOf(earlier, run, member);
      if (member.isKnownToBeThere()) {
        lifecycle.loseMember(run, member, kind);
      } else {
        member.moveTo(later, Optional.of(kind));
      }
    }
    moved(run, earlier, later);
  }

  private static boolean isOn(String worker, MemberRun member) {
    return member.worker().equals(worker) && !member.ended();
  }

  private void moved(GroupRun run, String earlier, String later) {
    term.runs.move(run, earlier, later);
    term.scheduler.tasksMoved(run.attemptId(), earlier, later);
  }
}
