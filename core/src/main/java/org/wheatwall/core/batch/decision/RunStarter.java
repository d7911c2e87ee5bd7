package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * Starts runs: logs the intent, sends the start commands and handles what workers respond. The
 * checks of {@link StartChecks} precede each step, since seconds may pass in between.
 */
final class RunStarter {
  private static final int START_RETRY_DELAY_MS = 100;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final StartChecks startChecks;
  private final ResponseWaits responseWaits;

  RunStarter(TermState term, RunLifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.startChecks = new StartChecks(term);
    this.responseWaits = new ResponseWaits(term);
  }

  /** Returns whether the operator allows starts on a worker, as far as this host knows. */
  boolean isStartAllowedOn(String worker) {
    return startChecks.isAllowedOn(worker);
  }

  /** Prepares the launch of a run that waits for its victims to end. */
  void prepareLaunch(GroupRun run) {
    if (run.state().suspect()) {
      responseWaits.begin(run);
    }
  }

  /** Logs the intent to run, and sends the commands once it is logged. */
  void launch(GroupRun run) {
    Optional<String> obstacle = startChecks.findObstacle(run);
    if (obstacle.isPresent()) {
      lifecycle.stopRun(run, obstacle.get() + " before the start");
      return;
    }
    if (run.state().suspect() && !haveWorkersResponded(run)) {
      return;
    }
    GroupState state = run.state().withRunStarted(run.workers());
    run.launch(state);
    term.jobs.get(run.group().jobId()).setState(run.group(), state);
    term.pendingEntries.add(LogEntry.of(LogKey.group(run.group()), new LogContent.Group(state)));
    term.flushThen(() -> sendStarts(run));
  }

  private boolean haveWorkersResponded(GroupRun run) {
    return !stopIfWorkerIsSilent(run) && !responseWaits.mustWait(run);
  }

  private boolean stopIfWorkerIsSilent(GroupRun run) {
    Optional<String> silent = responseWaits.findSilentWorker(run);
    silent.ifPresent(
        worker -> {
          term.onWorkerUnreachable(worker, "it did not respond before a start");
          lifecycle.stopRun(run, "no answer from " + worker + " before the start");
        });
    return silent.isPresent();
  }

  /** Continues the launch of runs that wait for a worker that has responded, or failed to. */
  void continueLaunchesOn(String worker) {
    for (GroupRun run : responseWaits.runsOn(worker)) {
      // Stopping one run can end its job, and with it other runs.
      if (responseWaits.isWaiting(run)) {
        launch(run);
      }
    }
  }

  private void sendStarts(GroupRun run) {
    if (run.stopping() || term.runs.ofGroup(run.group()).orElse(null) != run) {
      return;
    }
    // Appending the intent to the job log can take seconds, so the start checks are repeated.
    Optional<String> obstacle = startChecks.findObstacle(run);
    if (obstacle.isPresent()) {
      lifecycle.stopRun(run, obstacle.get() + " before the order");
      return;
    }
    if (run.state().suspect() && stopIfWorkerIsSilent(run)) {
      return;
    }
    term.logEvent(
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

  private void sendStart(GroupRun run, MemberRun member) {
    term.effects.sendStart(
        new StartCommand(
            member.worker(),
            run.task(member),
            run.state().run(),
            run.job().specification(),
            run.state().checkpoint(),
            term.permits.permitText(run, member.worker())));
    member.recordStartSent(term.nowMs);
  }

  /** Processes the outcome of a start command of a task that has not ended. */
  void handleStartOutcome(GroupRun run, MemberRun member, CommandOutcome outcome) {
    switch (outcome) {
      case DONE -> {
        member.confirmStart(term.nowMs);
        term.onWorkerReported(member.worker());
        term.workers.onStartAccepted(member.worker());
      }
      case NO_ROOM -> {
        if (run.stopping() || member.startsSent() >= term.settings.roomTries()) {
          handleRefusedStart(run, member, "no room at " + member.worker());
        } else {
          member.recordStartRefused();
          member.retryStartAt(term.nowMs + START_RETRY_DELAY_MS);
          term.runs.addResendCandidate(run);
        }
      }
      case OLD_RUN -> {
        member.recordStopAcknowledged(term.nowMs);
        term.effects.requestReport(member.worker());
      }
      case NO_PERMIT -> {
        term.permits.onRefused(run, member.worker());
        handleRefusedStart(run, member, "the permit did not hold at " + member.worker());
      }
      case NOT_REACHED -> {
        // Its process may be down for seconds. As nothing runs on it, all waiting groups would be
        // placed on it first.
        term.onWorkerUnreachable(member.worker(), "no connection could be made");
        handleRefusedStart(run, member, "no connection to " + member.worker());
      }
      case TOO_LATE, NOT_DONE -> {
        // It has free capacity and still reports. Without a delay, all waiting groups would be
        // placed on it first.
        term.delayStarts(member.worker(), outcome);
        handleRefusedStart(run, member, outcome + " at " + member.worker());
      }
      case UNKNOWN -> handleUnansweredStart(run, member);
      case FENCED, WORKER_GONE -> {
        // The caller ends the term or all runs on the worker.
      }
    }
  }

  private void handleRefusedStart(GroupRun run, MemberRun member, String reason) {
    member.recordStartRefused();
    if (!member.mayStartLate()) {
      lifecycle.endMember(run, member, RunLifecycle.NO_CHECKPOINT);
    }
    lifecycle.stopRun(run, reason);
  }

  private void handleUnansweredStart(GroupRun run, MemberRun member) {
    member.recordUnansweredStart();
    if (!run.stopping() && member.startsSent() < term.settings.startTries()) {
      retryStart(run, member);
      return;
    }
    term.onWorkerUnreachable(member.worker(), "a start was not answered");
    lifecycle.stopRun(run, "no answer from " + member.worker());
  }

  /**
   * Sends a start again, unless the worker has lost capacity since it was last sent, or its
   * availability zone is evacuated.
   */
  void retryStart(GroupRun run, MemberRun member) {
    if (!startChecks.isAllowedOn(member.worker())) {
      lifecycle.stopRun(
          run, "no start is allowed at " + member.worker() + " when the order was repeated");
    } else if (startChecks.hasCapacityOn(member.worker(), run)) {
      sendStart(run, member);
    } else {
      lifecycle.stopRun(
          run, "room has shrunk at " + member.worker() + " before the order was repeated");
    }
  }
}
