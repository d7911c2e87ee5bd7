package org.wheatwall.core.batch.decision;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;

/**
 * Executes the decisions of a scheduling pass. The scheduler counts all of them as executed, so a
 * decision that fails must not prevent the execution of those after it.
 */
final class DecisionExecutor {
  private final TermState term;
  private final RunLifecycle lifecycle;
  private final PendingStarts pendingStarts;

  DecisionExecutor(TermState term, RunLifecycle lifecycle, PendingStarts pending) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.pendingStarts = pending;
  }

  void execute(List<Decision> decisions) {
    for (Decision decision : decisions) {
      try {
        execute(decision);
      } catch (RuntimeException failure) {
        handleFailure(decision, failure);
      }
    }
  }

  private void execute(Decision decision) {
    if (decision instanceof Decision.Stop stop) {
      term.runs
          .ofAttempt(stop.attemptId())
          .ifPresent(victim -> lifecycle.stopRun(victim, stop.reason()));
    } else if (decision instanceof Decision.Start start) {
      start(start);
    } else if (decision instanceof Decision.Failed failed) {
      logFailure(failed.jobName(), failed.cause());
    }
  }

  private void start(Decision.Start start) {
    GroupKey group = GroupKey.parse(start.jobName()).orElseThrow();
    Optional<JobProgress> open = openJob(group);
    if (open.isPresent()) {
      planRun(start, group, open.get());
    } else {
      // An earlier stop in the same scheduling pass has ended its job.
      endAttempt(start);
    }
  }

  private Optional<JobProgress> openJob(GroupKey group) {
    return Optional.ofNullable(term.jobs.get(group.jobId())).filter(progress -> !progress.closed());
  }

  private void planRun(Decision.Start start, GroupKey group, JobProgress progress) {
    term.onPlaced(progress, group);
    List<String> victims =
        start.victims().stream().filter(id -> term.runs.ofAttempt(id).isPresent()).toList();
    GroupRun run =
        GroupRun.planned(
            group,
            progress.job(),
            start.attemptId(),
            progress.state(group),
            start.placement().hosts(),
            victims);
    term.runs.add(run);
    pendingStarts.add(run);
    if (run.waitsForVictims()) {
      lifecycle.starter().prepareLaunch(run);
    } else {
      lifecycle.starter().launch(run);
    }
  }

  private void endAttempt(Decision.Start start) {
    term.scheduler.attemptEnded(start.attemptId(), EndReason.INTERRUPTED, term.nowMs);
    term.dirty = true;
  }

  private void handleFailure(Decision decision, RuntimeException failure) {
    if (decision instanceof Decision.Start start) {
      logFailure(start.jobName(), String.valueOf(failure));
      // If the run was already planned, it is abandoned by PendingStarts.
      if (term.runs.ofAttempt(start.attemptId()).isEmpty()) {
        endAttempt(start);
        GroupKey.parse(start.jobName()).ifPresent(this::resubmit);
      }
    } else if (decision instanceof Decision.Stop stop) {
      String victim =
          term.runs.ofAttempt(stop.attemptId()).map(run -> run.group().text()).orElse("");
      logFailure(victim, String.valueOf(failure));
    }
  }

  private void resubmit(GroupKey group) {
    openJob(group)
        .filter(progress -> progress.state(group).phase() == GroupPhase.WAITING)
        .ifPresent(progress -> term.submit(progress, group));
  }

  private void logFailure(String groupText, String cause) {
    String jobId = GroupKey.parse(groupText).map(GroupKey::jobId).orElse("");
    term.logEvent(RunEvent.Kind.DECISION_FAILED, jobId, groupText, cause);
  }
}
