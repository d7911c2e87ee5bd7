package org.wheatwall.core.batch.decision;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.wheatwall.core.batch.model.TaskLosses;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * The course of runs within a term: from the intent over orders and ends to the next run, or to the
 * end of the job.
 */
final class RunLifecycle {
  private static final int ROOM_REPEAT_MS = 100;
  private static final int MOST_NAMED = 10;
  // A task that crashes its worker as a rule does so as it begins; one that was reported to be
  // there
  // for longer is more likely to be a neighbour of the one that did.
  private static final int SEEN_AT_WORK_MS = 500;
  // A task that lasts loses workers to their own faults over days; after such a run it is cleared.
  private static final int LONG_RUN_MS = 30_000;
  static final String NO_CHECKPOINT = "";

  private final TermState term;

  RunLifecycle(TermState term) {
    this.term = term;
  }

  void launch(GroupRun run) {
    Optional<String> obstacle = obstacleTo(run);
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

  /** Returns why a run cannot start on its workers now, though it was planned there. */
  private Optional<String> obstacleTo(GroupRun run) {
    boolean usable =
        run.workers().stream()
            .allMatch(id -> term.workers.find(id).filter(WorkerRecord::usable).isPresent());
    if (!usable) {
      return Optional.of("a worker was lost");
    }
    if (!hasRoom(run)) {
      return Optional.of("room has shrunk");
    }
    return term.permits.cover(run) ? Optional.empty() : Optional.of("a permit lapsed");
  }

  // Not every worker refuses what it has no room for.
  private boolean hasRoom(GroupRun run) {
    return Set.copyOf(run.workers()).stream()
        .allMatch(worker -> term.workers.hasRoomFor(worker, takenWith(run, worker)));
  }

  private ResourceAmount takenWith(GroupRun run, String worker) {
    ResourceAmount taken = run.amountOn(worker);
    for (GroupRun other : term.runs.on(worker)) {
      taken = other.launched() && other != run ? taken.plus(other.amountOn(worker)) : taken;
    }
    return taken;
  }

  void order(GroupRun run) {
    if (run.stopping() || term.runs.of(run.group()).orElse(null) != run) {
      return;
    }
    // Writing the intent down takes seconds at times; what held before it may not hold any more.
    Optional<String> obstacle = obstacleTo(run);
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
            + term.scheduler.expectedMs(run.attemptId()).stream()
                .mapToObj(ms -> ", expected " + ms + " ms")
                .findFirst()
                .orElse(""));
    for (MemberRun member : run.members()) {
      sendStart(run, member);
    }
  }

  void sendStart(GroupRun run, MemberRun member) {
    member.ordered(term.nowMs);
    term.effects.start(
        new StartOrder(
            member.worker(),
            run.task(member),
            run.state().run(),
            run.job().specification(),
            run.state().checkpoint(),
            term.permits.text(run, member.worker())));
  }

  void startAnswered(GroupRun run, MemberRun member, OrderAnswer answer) {
    switch (answer) {
      case DONE -> {
        member.confirm(term.nowMs);
        term.heard(member.worker());
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
      case TOO_LATE, NOT_DONE -> refused(run, member, answer + " at " + member.worker());
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
      sendStart(run, member);
      return;
    }
    term.unreachable(member.worker(), "a start was not answered");
    stopRun(run, "no answer from " + member.worker());
  }

  void stopRun(GroupRun run, String reason) {
    if (!run.stopping()) {
      run.markStopping();
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
    term.scheduler.hostFailedTask(worker, group.jobId(), term.nowMs);
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

  private static String counts(GroupState state) {
    StringBuilder text = new StringBuilder().append(state.failures()).append(" failed");
    for (TaskLosses losses : state.losses()) {
      text.append(", task ").append(losses.position()).append(" lost ").append(losses.lost());
      text.append(" workers, ").append(losses.crashesAtStart()).append(" as it began");
    }
    return text.toString();
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
    term.scheduler.jobProgressed(group.jobId());
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
    endMembersOn(worker, "its worker is gone", (run, member) -> kindOfLoss(worker, run, member));
  }

  private LossKind kindOfLoss(String worker, GroupRun run, MemberRun member) {
    WorkerRecord record = term.workers.record(worker);
    if (!record.endsWithoutNotice()) {
      return LossKind.LEFT;
    }
    // A start without an answer may not have arrived before the crash, and what was being stopped
    // may have ended.
    boolean began = member.phase() == MemberRun.Phase.RUNNING && !run.stopping();
    boolean seen = record.answeredAtMs() - member.sinceMs() >= SEEN_AT_WORK_MS;
    return began && !seen ? LossKind.CRASH_AT_START : LossKind.POSSIBLE_CRASH;
  }

  private void endMembersOn(
      String worker, String reason, BiFunction<GroupRun, MemberRun, LossKind> kinds) {
    for (GroupRun run : term.runs.on(worker)) {
      for (MemberRun member : run.members()) {
        if (member.worker().equals(worker) && !member.ended()) {
          noteLoss(run, member, kinds.apply(run, member));
          endMember(run, member, NO_CHECKPOINT);
        }
      }
      stopRun(run, reason);
    }
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

  // No worker is left to tell that a task failed by crashing it. Without this count the task would
  // be started again for ever, a worker each time.
  private void noteLoss(GroupRun run, MemberRun member, LossKind kind) {
    if (!run.launched() || member.phase() == MemberRun.Phase.PLANNED || !isActive(run)) {
      return;
    }
    JobRuns progress = term.jobs.get(run.group().jobId());
    GroupState state = progress.state(run.group());
    boolean lasted = term.nowMs - member.sinceMs() >= LONG_RUN_MS;
    GroupState next =
        run.step().longRunning() && lasted
            ? state.lossesForgiven(member.position())
            : state.lostIn(state.run(), member.position(), kind);
    run.setState(next);
    progress.set(run.group(), next);
  }

  void endLapsed() {
    for (String worker : List.copyOf(term.runs.workers())) {
      if (term.workers.record(worker).lapsed(term.nowMs, term.settings.lapseMs())) {
        String reason = "every lease at its worker has run out";
        endMembersOn(worker, reason, (run, member) -> LossKind.POSSIBLE_CRASH);
      }
    }
  }

  void repeatOrders() {
    for (GroupRun run : term.runs.unsettled()) {
      for (MemberRun member : run.members()) {
        if (!member.ended() && member.stopDue(term.nowMs, term.settings.stopRepeatMs())) {
          sendStop(run, member);
        } else if (member.startDue(term.nowMs) && !run.stopping()) {
          sendStart(run, member);
        }
      }
    }
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
          "run " + state.run() + ", " + counts(state));
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
        counts(state) + ", of " + progress.job().maxAttempts() + " allowed to fail");
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
