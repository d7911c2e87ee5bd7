package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.job.decision.EndReason;

/**
 * The course of runs within a term: from the intent over orders and ends to the next run, or to the
 * end of the job.
 */
final class RunLifecycle {
  private static final int ROOM_REPEAT_MS = 100;
  static final String NO_CHECKPOINT = "";

  private final TermState term;
  private final StartChecks startChecks;
  private final LostRuns losses;

  RunLifecycle(TermState term) {
    this.term = term;
    this.startChecks = new StartChecks(term);
    this.losses = new LostRuns(term);
  }

  void launch(GroupRun run) {
    Optional<String> obstacle = startChecks.obstacleTo(run);
    if (obstacle.isPresent()) {
      stopRun(run, obstacle.get() + " before the start");
      return;
    }
    GroupState state = run.state().started(run.workers());
    run.setState(state);
    run.launch();
    term.jobs.get(run.group().jobId()).set(run.group(), state);
    term.outgoing.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(state)));
    term.flushThen(() -> order(run));
  }

  void order(GroupRun run) {
    if (run.stopping() || term.runs.of(run.group()).orElse(null) != run) {
      return;
    }
    // Writing the intent down takes seconds at times; what held before it may not hold any more.
    Optional<String> obstacle = startChecks.obstacleTo(run);
    if (obstacle.isPresent()) {
      stopRun(run, obstacle.get() + " before the order");
      return;
    }
    term.note(
        RunEvent.Kind.GROUP_STARTED,
        run.group().jobId(),
        run.group().text(),
        "run "
            + run.state().run()
            + " on "
            + String.join(",", run.workers())
            + term.scheduler.expectedRunMs(run.attemptId()).stream()
                .mapToObj(ms -> ", expected " + ms + " ms")
                .findFirst()
                .orElse(""));
    for (MemberRun member : run.members()) {
      sendStart(run, member);
    }
  }

  void sendStart(GroupRun run, MemberRun member) {
    term.effects.start(
        new StartOrder(
            member.worker(),
            run.task(member),
            run.state().run(),
            run.job().specification(),
            run.state().checkpoint(),
            term.permits.text(run, member.worker())));
    member.ordered(term.nowMs);
  }

  void startAnswered(GroupRun run, MemberRun member, OrderAnswer answer) {
    switch (answer) {
      case DONE -> {
        member.confirm(term.nowMs);
        term.heard(member.worker());
        term.workers.startTaken(member.worker());
      }
      case NO_ROOM -> {
        if (run.stopping() || member.tries() >= term.settings.roomTries()) {
          refused(run, member, "no room at " + member.worker());
        } else {
          member.repeatAt(term.nowMs + ROOM_REPEAT_MS);
          term.runs.markUnsettled(run);
        }
      }
      case OLD_RUN -> {
        member.stopAcknowledged(term.nowMs);
        term.effects.look(member.worker());
      }
      case NO_PERMIT -> {
        term.permits.refused(run, member.worker());
        refused(run, member, "the permit did not hold at " + member.worker());
      }
      case NOT_REACHED -> {
        // Its process may be down for seconds, with nothing on it; it would attract all that waits.
        term.unreachable(member.worker(), "no connection could be made");
        refused(run, member, "no connection to " + member.worker());
      }
      case TOO_LATE, NOT_DONE -> {
        // It holds little and answers reports; without a delay it would attract all that waits.
        term.delayStarts(member.worker(), answer);
        refused(run, member, answer + " at " + member.worker());
      }
      case UNKNOWN -> unanswered(run, member);
      case FENCED, WORKER_GONE -> {
        // The caller ends the term, or the worker; there is nothing to do for a single member.
      }
    }
  }

  void refused(GroupRun run, MemberRun member, String reason) {
    if (!member.mayStartLate()) {
      endMember(run, member, NO_CHECKPOINT);
    }
    stopRun(run, reason);
  }

  void unanswered(GroupRun run, MemberRun member) {
    member.lostAnswer();
    if (!run.stopping() && member.tries() < term.settings.startTries()) {
      repeatStart(run, member);
      return;
    }
    term.unreachable(member.worker(), "a start was not answered");
    stopRun(run, "no answer from " + member.worker());
  }

  // The room that it was planned in may have gone since the start was sent before.
  private void repeatStart(GroupRun run, MemberRun member) {
    if (startChecks.hasRoomOn(member.worker(), run)) {
      sendStart(run, member);
    } else {
      stopRun(run, "room has shrunk at " + member.worker() + " before the order was repeated");
    }
  }

  void stopRun(GroupRun run, String reason) {
    if (!run.stopping()) {
      run.markStopping(term.nowMs);
      term.runs.markUnsettled(run);
      term.note(RunEvent.Kind.RUN_STOPPING, run.group().jobId(), run.group().text(), reason);
    }
    for (MemberRun member : run.members()) {
      if (member.phase() == MemberRun.Phase.PLANNED) {
        member.end();
      } else if (!member.ended() && member.wantStop()) {
        sendStop(run, member);
      }
    }
    if (run.allEnded()) {
      settle(run);
    }
  }

  void sendStop(GroupRun run, MemberRun member) {
    member.stopSent(term.nowMs);
    term.effects.stop(new StopOrder(member.worker(), run.task(member), run.state().run()));
  }

  void noteFailure(JobRuns progress, GroupKey group, String worker, int failedRun) {
    term.scheduler.taskFailed(worker, group.jobId(), term.nowMs);
    term.note(
        RunEvent.Kind.TASK_FAILED,
        group.jobId(),
        group.text(),
        "run " + failedRun + " on " + worker);
    term.avoided.computeIfAbsent(group, key -> new HashSet<>()).add(worker);
    GroupState state = progress.state(group).failedIn(failedRun);
    progress.set(group, state);
    term.runs.of(group).ifPresent(run -> run.setState(state));
    if (!progress.closed()) {
      term.outgoing.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    }
  }

  // A failure that is heard of late may be the last one allowed while no run is under way.
  void failIfWaitingInVain(JobRuns progress, GroupKey group) {
    GroupState state = progress.state(group);
    boolean exhausted = failedTooOften(progress, group, state);
    boolean waits = state.phase() == GroupPhase.WAITING && term.runs.of(group).isEmpty();
    if (exhausted && !progress.closed() && waits) {
      term.scheduler.withdraw(group.text());
      finishFailed(progress, group, state);
    }
  }

  private static boolean failedTooOften(JobRuns progress, GroupKey group, GroupState state) {
    boolean lasts = progress.job().steps().get(group.step()).longRunning();
    return !lasts && state.failures() >= progress.job().maxAttempts();
  }

  void complete(JobRuns progress, GroupKey group, int doneRun) {
    if (progress.closed() || progress.state(group).phase() == GroupPhase.DONE) {
      GroupRun leftOver = term.runs.of(group).orElse(null);
      if (leftOver != null && leftOver.state().run() == doneRun) {
        leftOver.members().forEach(MemberRun::end);
        settle(leftOver);
      }
      return;
    }
    GroupState state = progress.state(group).settled(GroupPhase.DONE);
    progress.set(group, state);
    term.outgoing.add(LogEntry.of(LogKey.group(group), new LogContent.Group(state)));
    term.scheduler.taskSucceeded(group.jobId());
    term.note(RunEvent.Kind.GROUP_DONE, group.jobId(), group.text(), "run " + doneRun);
    GroupRun run = term.runs.of(group).orElse(null);
    if (run == null) {
      term.scheduler.withdraw(group.text());
    } else if (run.state().run() == doneRun && run.launched()) {
      removeRun(run, EndReason.SUCCEEDED);
    } else {
      stopRun(run, "an earlier run was done");
    }
    term.submitReady(progress);
    if (progress.allDone()) {
      endJob(progress, BatchState.SUCCEEDED, "every task is done");
    }
  }

  /**
   * Notes that a task neither runs nor can start any more. A group that is done stays so while a
   * later run of it is being stopped, and a run that was not launched has nothing written down.
   */
  void endMember(GroupRun run, MemberRun member, String checkpoint) {
    member.end();
    giveBack(run, member);
    if (run.launched() && isActive(run)) {
      JobRuns progress = term.jobs.get(run.group().jobId());
      GroupState state = progress.state(run.group());
      run.setState(state.memberEnded(member.position()).savedAt(checkpoint));
      progress.set(run.group(), run.state());
    }
  }

  // A gang has ended only once its last task has, and a task on a worker that does not answer ends
  // after its leases, 6.7 s or more. Its other workers are free long before: with 14 of 85 workers
  // gone without a word, 2 to 4 groups a second started for 4 s on the others, and 77 a second
  // after.
  private void giveBack(GroupRun run, MemberRun member) {
    term.scheduler.taskEnded(run.attemptId(), member.worker());
    term.dirty = true;
    for (GroupRun other : term.runs.waitingFor(run.attemptId())) {
      if (!run.holdsAnyOf(other.workers())) {
        term.runs.waitsNoMore(other, run.attemptId());
        launchIfFree(other, run.attemptId());
      }
    }
  }

  private void launchIfFree(GroupRun run, String endedAttempt) {
    if (run.victimEnded(endedAttempt) && !run.stopping()) {
      launch(run);
    }
  }

  /** Returns whether the group of a run counts as running. */
  boolean isActive(GroupRun run) {
    JobRuns progress = term.jobs.get(run.group().jobId());
    return progress.state(run.group()).phase() == GroupPhase.ACTIVE;
  }

  /** Ends what a worker that is gone may have run. */
  void workerGone(String worker) {
    String held = losses.heldBy(worker);
    endMembersOn(worker, "its worker is gone", (run, member) -> losses.kindOf(worker, run, member));
    term.workers.remove(worker);
    term.note(RunEvent.Kind.WORKER_GONE, "", worker, "another process answers there" + held);
  }

  private void endMembersOn(
      String worker, String reason, BiFunction<GroupRun, MemberRun, LossKind> kinds) {
    for (GroupRun run : term.runs.on(worker)) {
      for (MemberRun member : run.members()) {
        if (member.worker().equals(worker) && !member.ended()) {
          loseMember(run, member, kinds.apply(run, member));
        }
      }
      stopRun(run, reason);
    }
  }

  /** Ends a task that was lost with its worker. */
  void loseMember(GroupRun run, MemberRun member, LossKind kind) {
    if (isActive(run)) {
      losses.note(run, member, member.lossIfMissing().orElse(kind));
    }
    endMember(run, member, NO_CHECKPOINT);
  }

  /** Ends a task that its worker does not have any more. */
  void endMissing(GroupRun run, MemberRun member) {
    if (member.lossIfMissing().isPresent()) {
      loseMember(run, member, member.lossIfMissing().get());
    } else {
      endMember(run, member, NO_CHECKPOINT);
    }
  }

  void endLapsed() {
    for (String worker : List.copyOf(term.runs.workers())) {
      if (term.workers.record(worker).lapsed(term.nowMs, term.settings.lapseMs())) {
        String reason = "every lease at its worker has run out";
        endMembersOn(worker, reason, (run, member) -> losses.kindOfLapse(worker));
      }
    }
  }

  void repeatOrders() {
    for (GroupRun run : term.runs.unsettled()) {
      if (run.heldUpNoteDue(term.nowMs)) {
        term.note(RunEvent.Kind.RUN_HELD_UP, run.group().jobId(), run.group().text(), held(run));
      }
      for (MemberRun member : run.members()) {
        if (!member.ended() && member.stopDue(term.nowMs, term.settings.stopRepeatMs())) {
          sendStop(run, member);
        } else if (member.startDue(term.nowMs) && !run.stopping()) {
          repeatStart(run, member);
        }
      }
    }
  }

  private String held(GroupRun run) {
    StringBuilder text = new StringBuilder("its stop is not over at");
    for (MemberRun member : run.members()) {
      if (!member.ended()) {
        long answeredAtMs = term.workers.record(member.worker()).answeredAtMs();
        text.append(' ').append(member.worker()).append('=').append(member.phase());
        text.append(member.stopIsAcknowledged() ? " stop acknowledged" : " stop open");
        text.append(
            answeredAtMs < 0
                ? ", never heard"
                : ", heard " + (term.nowMs - answeredAtMs) + " ms ago");
      }
    }
    return text.toString();
  }

  void settle(GroupRun run) {
    if (term.runs.of(run.group()).orElse(null) != run) {
      // Settled already: the end of one run may end its job, and with it others of the same loop.
      return;
    }
    JobRuns progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    removeRun(run, EndReason.INTERRUPTED);
    if (progress.closed()) {
      progress.states().remove(run.group());
      term.outgoing.add(LogEntry.drop(LogKey.group(run.group())));
      term.forgetIfOver(progress);
      return;
    }
    if (state.phase() == GroupPhase.DONE) {
      return;
    }
    if (state.lostTooOften() || failedTooOften(progress, run.group(), state)) {
      finishFailed(progress, run.group(), state);
      return;
    }
    if (run.launched()) {
      GroupState waiting = state.settled(GroupPhase.WAITING);
      progress.set(run.group(), waiting);
      term.outgoing.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(waiting)));
      term.note(
          RunEvent.Kind.GROUP_INTERRUPTED,
          run.group().jobId(),
          run.group().text(),
          "run " + state.run() + ", " + LostRuns.counts(state));
    }
    term.submit(progress, run.group());
  }

  void finishFailed(JobRuns progress, GroupKey group, GroupState state) {
    GroupState failed = state.settled(GroupPhase.FAILED);
    progress.set(group, failed);
    term.note(
        RunEvent.Kind.GROUP_FAILED,
        group.jobId(),
        group.text(),
        LostRuns.counts(state) + ", of " + progress.job().maxAttempts() + " allowed to fail");
    String cause =
        state.lostTooOften() ? " has cost too many workers" : " failed as often as is allowed";
    endJob(progress, BatchState.FAILED, "group " + group.text() + cause);
  }

  void endJob(JobRuns progress, BatchState state, String reason) {
    progress.close();
    term.rememberEnded(progress.job().id());
    term.outgoing.add(
        LogEntry.of(
            LogKey.end(progress.job().id()), new LogContent.End(state, reason, term.wallMs)));
    term.note(RunEvent.Kind.JOB_ENDED, progress.job().id(), state.toString(), reason);
    closeGroups(progress);
  }

  // Runs under way are stopped and dropped as they end; all other groups are dropped now.
  void closeGroups(JobRuns progress) {
    for (GroupKey group : List.copyOf(progress.states().keySet())) {
      if (term.runs.of(group).isEmpty()) {
        progress.states().remove(group);
        term.outgoing.add(LogEntry.drop(LogKey.group(group)));
      }
    }
    withdrawWaiting(progress);
    for (GroupRun run : term.runs.ofJob(progress.job().id())) {
      stopRun(run, "its job has ended");
    }
    term.forgetIfOver(progress);
  }

  void withdrawWaiting(JobRuns progress) {
    for (GroupKey group : progress.submitted()) {
      if (term.runs.of(group).isEmpty()) {
        term.scheduler.withdraw(group.text());
      }
    }
  }

  void removeRun(GroupRun run, EndReason reason) {
    term.runs.remove(run);
    term.scheduler.attemptEnded(run.attemptId(), reason, term.nowMs);
    term.dirty = true;
    for (GroupRun other : term.runs.takeWaitingFor(run.attemptId())) {
      launchIfFree(other, run.attemptId());
    }
  }
}
