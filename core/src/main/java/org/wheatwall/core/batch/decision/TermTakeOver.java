package org.wheatwall.core.batch.decision;

import java.util.List;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.job.model.Placement;

/**
 * Takes over the state logged by earlier deciders at the start of a term: jobs, their progress, and
 * runs that may still be active.
 */
final class TermTakeOver {
  private final TermState term;
  private final RunLifecycle lifecycle;

  TermTakeOver(TermState term, RunLifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
  }

  void takeOver(JobTable table) {
    for (JobRecord record : List.copyOf(table.jobs())) {
      if (!record.isVoid()) {
        record.job().ifPresent(job -> takeOver(job, record));
      }
      term.effects.onLongWork();
    }
  }

  private void takeOver(BatchJob job, JobRecord record) {
    JobProgress progress = term.addJob(job);
    progress.restore(record.groups(), record.doneGroups());
    if (record.end().isPresent()) {
      progress.close();
    }
    record
        .groups()
        .forEach(
            (group, state) -> {
              if (state.phase() == GroupPhase.ACTIVE) {
                inherit(progress, group, state);
              }
            });
    if (record.end().isPresent()) {
      lifecycle.closeGroups(progress);
    } else if (record.cancelled()) {
      lifecycle.endJob(progress, BatchState.CANCELLED, "the submitter cancelled it");
    } else if (progress.allDone()) {
      lifecycle.endJob(progress, BatchState.SUCCEEDED, "every task is done");
    } else {
      failIfExhausted(progress);
      lifecycle.foldDoneGroups(progress);
      term.submitReady(progress);
    }
  }

  private void failIfExhausted(JobProgress progress) {
    for (GroupState state : List.copyOf(progress.states().values())) {
      if (state.phase() == GroupPhase.FAILED && !progress.closed()) {
        lifecycle.endJob(progress, BatchState.FAILED, "a task failed as often as is allowed");
      }
    }
  }

  private void inherit(JobProgress progress, GroupKey group, GroupState state) {
    String attemptId = "inherited." + group.text() + "." + state.run();
    GroupRun run = GroupRun.inherited(group, progress.job(), attemptId, state);
    term.runs.add(run);
    term.waits.startWait(group);
    run.workers().forEach(term.workers.incarnations()::add);
    term.scheduler.adopt(
        attemptId,
        group.text(),
        term.toSchedulerJob(progress, group),
        progress.submittedAtMs(),
        new Placement(run.workers()),
        term.nowMs);
    run.members().stream()
        .filter(MemberRun::ended)
        .forEach(member -> term.scheduler.taskEnded(attemptId, member.worker()));
    term.logEvent(RunEvent.Kind.RUN_ADOPTED, group.jobId(), group.text(), "run " + state.run());
    if (run.allEnded()) {
      lifecycle.finishRun(run);
    }
  }
}
