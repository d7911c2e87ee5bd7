package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.job.decision.EndReason;

/**
 * Controls the lifecycle of runs within a term: sends stop commands and processes ends, up to the
 * next run of the group or the end of its job. {@link RunStarter} starts the runs.
 */
final class RunLifecycle {
  static final String NO_CHECKPOINT = "";

  private final TermState term;
  private final RunStarter starter;
  private final LostRuns lostRuns;

  RunLifecycle(TermState term) {
    this.term = term;
    this.starter = new RunStarter(term, this);
    this.lostRuns = new LostRuns(term);
  }

  /** Returns what starts runs. */
  RunStarter starter() {
    return starter;
  }

  void stopRun(GroupRun run, String reason) {
    if (!run.stopping()) {
      run.markStopping(term.nowMs);
      term.runs.addResendCandidate(run);
      term.logEvent(RunEvent.Kind.RUN_STOPPING, run.group().jobId(), run.group().text(), reason);
    }
    for (MemberRun member : run.members()) {
      if (member.phase() == MemberRun.Phase.PLANNED) {
        member.end();
      } else if (!member.ended() && member.requestStop()) {
        sendStop(run, member);
      }
    }
    if (run.allEnded()) {
      finishRun(run);
    }
  }

  void sendStop(GroupRun run, MemberRun member) {
    member.recordStopSent(term.nowMs);
    term.effects.sendStop(new StopCommand(member.worker(), run.task(member), run.state().run()));
  }

  void recordFailure(JobProgress progress, GroupKey group, String worker, int failedRun) {
    term.scheduler.taskFailed(worker, group.jobId(), term.nowMs);
    term.logEvent(
        RunEvent.Kind.TASK_FAILED,
        group.jobId(),
        group.text(),
        "run " + failedRun + " on " + worker);
    if (progress.isFolded(group)) {
      return;
    }
    progress.avoidWorker(group, worker);
    GroupState state = progress.state(group).withFailure(failedRun);
    progress.setState(group, state);
    term.runs.ofGroup(group).ifPresent(run -> run.setState(state));
    if (!progress.closed()) {
      term.pendingEntries.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    }
  }

  // A failure that is reported late can be the last allowed one although no run is active.
  void failWaitingGroupIfExhausted(JobProgress progress, GroupKey group) {
    GroupState state = progress.state(group);
    boolean exhausted = areAttemptsExhausted(progress, group, state);
    boolean waiting = state.phase() == GroupPhase.WAITING && term.runs.ofGroup(group).isEmpty();
    if (exhausted && !progress.closed() && waiting) {
      term.withdraw(progress, group);
      failGroup(progress, group, state);
    }
  }

  private static boolean areAttemptsExhausted(
      JobProgress progress, GroupKey group, GroupState state) {
    boolean longRunning = progress.job().steps().get(group.step()).longRunning();
    return !longRunning && state.failures() >= progress.job().maxAttempts();
  }

  void completeGroup(JobProgress progress, GroupKey group, int completedRun) {
    if (progress.closed() || progress.state(group).phase() == GroupPhase.DONE) {
      GroupRun previousRun = term.runs.ofGroup(group).orElse(null);
      if (previousRun != null && previousRun.state().run() == completedRun) {
        previousRun.members().forEach(MemberRun::end);
        finishRun(previousRun);
      }
      return;
    }
    GroupState state = progress.state(group).withoutActiveRun(GroupPhase.DONE);
    progress.setState(group, state);
    term.pendingEntries.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    term.scheduler.taskSucceeded(group.jobId());
    term.logEvent(RunEvent.Kind.GROUP_DONE, group.jobId(), group.text(), "run " + completedRun);
    GroupRun run = term.runs.ofGroup(group).orElse(null);
    if (run == null) {
      term.withdraw(progress, group);
    } else if (run.state().run() == completedRun && run.launched()) {
      removeRun(run, EndReason.SUCCEEDED);
    } else {
      stopRun(run, "an earlier run was done");
    }
    foldDoneGroups(progress);
    term.submitReady(progress);
    if (progress.allDone()) {
      endJob(progress, BatchState.SUCCEEDED, "every task is done");
    }
  }

  /** Replaces the records of many done groups by one. */
  void foldDoneGroups(JobProgress progress) {
    progress.foldDoneGroups().ifPresent(fold -> addToLog(progress, fold));
  }

  private void addToLog(JobProgress progress, JobProgress.Fold fold) {
    term.pendingEntries.add(LogEntry.of(LogKey.doneGroups(progress.job().id()), fold.content()));
    for (GroupKey group : fold.groups()) {
      term.pendingEntries.add(LogEntry.tombstone(LogKey.group(group)));
    }
  }

  /**
   * Records that a task neither runs nor can start any more. The logged state changes only if the
   * group is active: a done group stays done while a later run of it is being stopped, and a run
   * that was not launched has no logged state.
   */
  void endMember(GroupRun run, MemberRun member, String checkpoint) {
    member.end();
    releaseCapacity(run, member);
    if (run.launched() && isGroupActive(run)) {
      JobProgress progress = term.jobs.get(run.group().jobId());
      GroupState state = progress.state(run.group());
      run.setState(state.withMemberEnded(member.position()).withCheckpoint(checkpoint));
      progress.setState(run.group(), run.state());
    }
  }

  // Capacity is released per task, because a gang ends only with its last task, and a task on an
  // unreachable worker ends only when its leases expire, after 6.7 s or more. The other workers of
  // the gang are free long before: when 14 of 85 workers crashed, only 2 to 4 groups per second
  // started on the others for 4 s, and 77 per second after that.
  private void releaseCapacity(GroupRun run, MemberRun member) {
    term.scheduler.taskEnded(run.attemptId(), member.worker());
    term.dirty = true;
    for (GroupRun other : term.runs.waitingFor(run.attemptId())) {
      if (!run.usesAnyOf(other.workers())) {
        term.runs.removeWait(other, run.attemptId());
        launchIfUnblocked(other, run.attemptId());
      }
    }
  }

  private void launchIfUnblocked(GroupRun run, String endedAttempt) {
    if (run.removeVictim(endedAttempt) && !run.stopping()) {
      starter.launch(run);
    }
  }

  /** Returns whether the group of a run is in the active phase. */
  boolean isGroupActive(GroupRun run) {
    JobProgress progress = term.jobs.get(run.group().jobId());
    return progress.state(run.group()).phase() == GroupPhase.ACTIVE;
  }

  /** Ends all tasks on a worker whose process is gone. */
  void endRunsOnGoneWorker(String worker) {
    String runsOnWorker = lostRuns.describeRunsOn(worker);
    endMembersOn(
        worker, "its worker is gone", (run, member) -> lostRuns.classifyGone(worker, run, member));
    term.workers.remove(worker);
    term.logEvent(
        RunEvent.Kind.WORKER_GONE, "", worker, "another process answers there" + runsOnWorker);
  }

  private void endMembersOn(
      String worker, String reason, BiFunction<GroupRun, MemberRun, LossKind> classifier) {
    for (GroupRun run : term.runs.onWorker(worker)) {
      for (MemberRun member : run.members()) {
        if (member.worker().equals(worker) && !member.ended()) {
          endLostMember(run, member, classifier.apply(run, member));
        }
      }
      stopRun(run, reason);
    }
  }

  /** Ends a task that was lost with its worker. */
  void endLostMember(GroupRun run, MemberRun member, LossKind kind) {
    if (isGroupActive(run)) {
      lostRuns.recordLoss(run, member, member.lossIfMissing().orElse(kind));
    }
    endMember(run, member, NO_CHECKPOINT);
  }

  /** Ends a task that is missing from its worker's report. */
  void endMissingMember(GroupRun run, MemberRun member) {
    if (member.lossIfMissing().isPresent()) {
      endLostMember(run, member, member.lossIfMissing().get());
    } else {
      endMember(run, member, NO_CHECKPOINT);
    }
  }

  void endMembersWithExpiredLeases() {
    for (String worker : List.copyOf(term.runs.workers())) {
      boolean expired =
          term.workers.getOrCreate(worker).leasesExpired(term.nowMs, term.settings.leaseExpiryMs());
      if (expired && !term.workers.awaitsFirstResponse(worker, term.nowMs)) {
        String reason = "every lease at its worker has run out";
        List<StopCommand> stops = stopsOfPossibleStarts(worker);
        endMembersOn(worker, reason, (run, member) -> lostRuns.classifyExpired(worker));
        stops.forEach(term.pendingStops::send);
      }
    }
  }

  // A start without a response may still be executed, and its lease depends on the worker's clock.
  private List<StopCommand> stopsOfPossibleStarts(String worker) {
    List<StopCommand> stops = new ArrayList<>();
    for (GroupRun run : term.runs.onWorker(worker)) {
      for (MemberRun member : run.members()) {
        if (member.worker().equals(worker) && member.isStartPossible()) {
          stops.add(new StopCommand(worker, run.task(member), run.state().run()));
        }
      }
    }
    return stops;
  }

  void resendDueCommands() {
    for (GroupRun run : term.runs.resendCandidates()) {
      if (run.isBlockedLogDue(term.nowMs)) {
        term.logEvent(
            RunEvent.Kind.RUN_HELD_UP,
            run.group().jobId(),
            run.group().text(),
            describeBlockers(run));
      }
      for (MemberRun member : run.members()) {
        if (!member.ended() && member.isStopDue(term.nowMs, term.settings.stopRepeatMs())) {
          sendStop(run, member);
        } else if (member.isStartRetryDue(term.nowMs) && !run.stopping()) {
          starter.retryStart(run, member);
        }
      }
    }
  }

  private String describeBlockers(GroupRun run) {
    StringBuilder text = new StringBuilder("its stop is not over at");
    for (MemberRun member : run.members()) {
      if (!member.ended()) {
        long lastResponseMs = term.workers.getOrCreate(member.worker()).lastResponseMs();
        text.append(' ').append(member.worker()).append('=').append(member.phase());
        text.append(member.isStopAcknowledged() ? " stop acknowledged" : " stop open");
        text.append(
            lastResponseMs < 0
                ? ", never heard"
                : ", heard " + (term.nowMs - lastResponseMs) + " ms ago");
      }
    }
    return text.toString();
  }

  void finishRun(GroupRun run) {
    if (term.runs.ofGroup(run.group()).orElse(null) != run) {
      // Already finished: the end of one run can end its job, and with it other runs that the
      // caller is iterating over.
      return;
    }
    JobProgress progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    removeRun(run, EndReason.INTERRUPTED);
    if (progress.closed()) {
      progress.states().remove(run.group());
      term.pendingEntries.add(LogEntry.tombstone(LogKey.group(run.group())));
      term.removeJobIfFinished(progress);
      return;
    }
    if (state.phase() == GroupPhase.DONE) {
      return;
    }
    if (state.hasTooManyLosses() || areAttemptsExhausted(progress, run.group(), state)) {
      failGroup(progress, run.group(), state);
      return;
    }
    if (run.launched()) {
      GroupState waiting =
          run.mayHaveBegun() ? state.withoutActiveRun(GroupPhase.WAITING) : state.withoutBegunRun();
      progress.setState(run.group(), waiting);
      term.pendingEntries.add(
          LogEntry.of(LogKey.group(run.group()), new LogContent.Group(waiting)));
      term.logEvent(
          RunEvent.Kind.GROUP_INTERRUPTED,
          run.group().jobId(),
          run.group().text(),
          "run " + state.run() + ", " + LostRuns.describeCounts(state));
    }
    term.submit(progress, run.group());
  }

  void failGroup(JobProgress progress, GroupKey group, GroupState state) {
    GroupState failed = state.withoutActiveRun(GroupPhase.FAILED);
    progress.setState(group, failed);
    term.logEvent(
        RunEvent.Kind.GROUP_FAILED,
        group.jobId(),
        group.text(),
        LostRuns.describeCounts(state)
            + ", of "
            + progress.job().maxAttempts()
            + " allowed to fail");
    String cause =
        state.hasTooManyLosses() ? " has cost too many workers" : " failed as often as is allowed";
    endJob(progress, BatchState.FAILED, "group " + group.text() + cause);
  }

  void endJob(JobProgress progress, BatchState state, String reason) {
    progress.close();
    term.rememberEndedJob(progress.job().id());
    term.pendingEntries.add(
        LogEntry.of(
            LogKey.end(progress.job().id()), new LogContent.End(state, reason, term.wallMs)));
    term.logEvent(RunEvent.Kind.JOB_ENDED, progress.job().id(), state.toString(), reason);
    closeGroups(progress);
  }

  // Groups without a run are dropped now. Groups with a run are dropped once their run has been
  // stopped.
  void closeGroups(JobProgress progress) {
    for (GroupKey group : List.copyOf(progress.states().keySet())) {
      if (term.runs.ofGroup(group).isEmpty()) {
        progress.states().remove(group);
        term.pendingEntries.add(LogEntry.tombstone(LogKey.group(group)));
      }
    }
    if (progress.hasFoldedGroups()) {
      term.pendingEntries.add(LogEntry.tombstone(LogKey.doneGroups(progress.job().id())));
    }
    withdrawWaitingGroups(progress);
    for (GroupRun run : term.runs.ofJob(progress.job().id())) {
      stopRun(run, "its job has ended");
    }
    term.removeJobIfFinished(progress);
  }

  void withdrawWaitingGroups(JobProgress progress) {
    List.copyOf(progress.waiting()).forEach(group -> term.withdraw(progress, group));
  }

  void removeRun(GroupRun run, EndReason reason) {
    term.runs.remove(run);
    if (run.hasConfirmedTask()) {
      term.waits.endWait(run.group());
    }
    term.scheduler.attemptEnded(run.attemptId(), reason, term.nowMs);
    term.dirty = true;
    for (GroupRun other : term.runs.removeAllWaitingFor(run.attemptId())) {
      launchIfUnblocked(other, run.attemptId());
    }
  }
}
