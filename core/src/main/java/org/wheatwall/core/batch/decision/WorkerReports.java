package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/** Processes reports of workers: ended tasks, running tasks, and tasks that are missing. */
final class WorkerReports {
  // A worker lists at most so many ends in a report; a report with as many may be incomplete.
  private static final int MAX_ENDS_LISTED = 500;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final WorkerProgress progress;

  WorkerReports(TermState term, RunLifecycle lifecycle, WorkerProgress progress) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.progress = progress;
  }

  /** Returns whether processed ends of a worker have not been acknowledged yet. */
  boolean hasUnacknowledgedEnds(String worker) {
    return term.workers
        .find(worker)
        .filter(record -> record.lastProcessedEnd() > record.lastAcknowledgedEnd())
        .isPresent();
  }

  /**
   * Processes the report of a worker.
   *
   * @param requestedAtMs when the report was requested, milliseconds
   */
  void onReport(String worker, WorkerInventory report, long requestedAtMs) {
    term.onWorkerReported(worker);
    if (requestedAtMs > term.clocksInvalidUntilMs) {
      term.workers.getOrCreate(worker).onClockRead(report.clockMs(), requestedAtMs);
    }
    term.leaseExtensions.onClockRead(worker, report.clockMs());
    progress.onReport(worker, report);
    Set<GroupRun> changed = new LinkedHashSet<>();
    long lastProcessed = term.workers.getOrCreate(worker).lastProcessedEnd();
    long last = lastProcessed;
    for (WorkerInventory.EndedTask end : report.ended()) {
      if (end.number() > lastProcessed) {
        processEnd(worker, end, changed);
        last = Math.max(last, end.number());
      } else {
        logIfPassedOver(worker, end, lastProcessed);
      }
    }
    Set<String> reported = processRunning(worker, report);
    endMissing(worker, report, reported, requestedAtMs, changed);
    recordChanged(changed);
    lifecycle.starter().continueLaunchesOn(worker);
    if (last > lastProcessed) {
      term.workers.getOrCreate(worker).onEndsProcessed(last);
      acknowledgeWhenPersisted(worker, last);
    } else {
      term.flush();
    }
    term.removeWorkerIfIdle(worker);
  }

  // A processed end is listed again until it is acknowledged; its run should be over by then.
  private void logIfPassedOver(String worker, WorkerInventory.EndedTask end, long lastProcessed) {
    Optional<MemberRun> member =
        term.findRun(end.task(), end.run())
            .map(run -> run.member(end.task()))
            .filter(known -> known.worker().equals(worker) && !known.ended());
    if (member.isPresent()) {
      term.logEvent(
          RunEvent.Kind.END_PASSED_OVER,
          end.task().jobId(),
          worker,
          "end "
              + end.number()
              + " ("
              + end.kind()
              + ") of run "
              + end.run()
              + " of task "
              + keyOf(end.task(), end.run())
              + ", though the run is not over; ends up to "
              + lastProcessed
              + " were taken in");
    }
  }

  /** Uses avoided workers again once they no longer count as slow. */
  void tick() {
    progress.tick();
  }

  private void processEnd(String worker, WorkerInventory.EndedTask end, Set<GroupRun> changed) {
    JobProgress progress = term.jobs.get(end.task().jobId());
    if (progress == null || end.task().step() >= progress.job().steps().size()) {
      return;
    }
    StepSpec step = progress.job().steps().get(end.task().step());
    GroupKey group = GroupKey.of(end.task(), step);
    GroupRun run = term.runs.ofGroup(group).orElse(null);
    if (end.kind() == EndKind.DONE && !step.longRunning()) {
      lifecycle.completeGroup(progress, group, end.run());
      return;
    }
    if (end.kind() == EndKind.FAILED) {
      lifecycle.recordFailure(progress, group, worker, end.run());
      lifecycle.failWaitingGroupIfExhausted(progress, group);
    }
    if (run != null && run.launched() && run.state().run() == end.run()) {
      MemberRun member = run.member(end.task());
      if (member.worker().equals(worker) && !member.ended()) {
        lifecycle.endMember(run, member, end.checkpoint());
        changed.add(run);
      }
    }
  }

  // Confirms known runs and passes the others on as orphaned.
  private Set<String> processRunning(String worker, WorkerInventory report) {
    Set<String> reported = new HashSet<>();
    List<WorkerInventory.RunningTask> unknown = new ArrayList<>();
    for (WorkerInventory.RunningTask task : report.running()) {
      reported.add(keyOf(task.task(), task.run()));
      Optional<GroupRun> run = term.findRun(task.task(), task.run());
      MemberRun member = run.map(found -> found.member(task.task())).orElse(null);
      if (member != null && member.worker().equals(worker) && !member.ended()) {
        member.recordReported(term.nowMs);
      } else {
        unknown.add(task);
      }
    }
    term.orphanedRuns.onReported(worker, unknown);
    return reported;
  }

  private void endMissing(
      String worker,
      WorkerInventory report,
      Set<String> reported,
      long requestedAtMs,
      Set<GroupRun> changed) {
    if (report.ended().size() >= MAX_ENDS_LISTED) {
      return;
    }
    report.ended().forEach(end -> reported.add(keyOf(end.task(), end.run())));
    for (GroupRun run : term.runs.onWorker(worker)) {
      for (MemberRun member : run.members()) {
        boolean assignedHere = member.worker().equals(worker) && !member.ended();
        boolean missing = !reported.contains(keyOf(run.task(member), run.state().run()));
        if (assignedHere && missing && member.isEndedIfMissingFromReport(requestedAtMs)) {
          lifecycle.endMissingMember(run, member);
          changed.add(run);
        }
      }
    }
  }

  private void recordChanged(Set<GroupRun> changed) {
    for (GroupRun run : changed) {
      if (term.runs.ofGroup(run.group()).orElse(null) != run) {
        continue;
      }
      lifecycle.stopRun(run, "a task of it has ended");
      if (term.runs.ofGroup(run.group()).orElse(null) == run && lifecycle.isGroupActive(run)) {
        term.pendingEntries.add(
            LogEntry.of(LogKey.group(run.group()), new LogContent.Group(run.state())));
      }
    }
  }

  private void acknowledgeWhenPersisted(String worker, long number) {
    term.flushThen(
        () -> {
          term.workers.getOrCreate(worker).onEndsAcknowledged(number);
          term.effects.requestReport(worker);
        });
  }

  private static String keyOf(TaskName task, int run) {
    return task.jobId()
        + "."
        + task.occurrence()
        + "."
        + task.step()
        + "."
        + task.index()
        + "#"
        + run;
  }
}
