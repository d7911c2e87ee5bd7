package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/** Takes in what workers report: ends, what still runs, and what is missing. */
final class WorkerReports {
  private static final int PERCENT = 100;
  private static final int STRAY_GRACE_MS = 1500;
  // A worker lists at most so many ends at once; with as many, others may be left out.
  private static final int MOST_ENDS_LISTED = 500;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final boolean leavesSlowAside;
  private final WorkerSpeeds speeds = new WorkerSpeeds();
  // When each unknown run was first reported, by worker.
  private final Map<String, Map<String, Long>> strays = new HashMap<>();

  WorkerReports(TermState term, RunLifecycle lifecycle, Mechanisms mechanisms) {
    this.term = term;
    this.lifecycle = lifecycle;
    this.leavesSlowAside = mechanisms.isEnabled(Mechanism.SLOW_WORKERS);
  }

  /** Returns whether ends of a worker were handled that it has not been told to forget. */
  boolean leftToAcknowledge(String worker) {
    return term.workers
        .find(worker)
        .filter(record -> record.takenIn() > record.acknowledged())
        .isPresent();
  }

  /** Returns whether a worker runs something of which nothing is known. */
  boolean runsUnknown(String worker) {
    return strays.containsKey(worker);
  }

  /**
   * Takes in the report of a worker.
   *
   * @param askedMs when the report was asked for
   */
  void onReport(String worker, WorkerInventory report, long askedMs) {
    term.heard(worker);
    noteSpeed(worker, report);
    Set<GroupRun> touched = new LinkedHashSet<>();
    long handled = term.workers.record(worker).takenIn();
    long last = handled;
    for (WorkerInventory.EndedTask end : report.ended()) {
      if (end.number() > handled) {
        onEnd(worker, end, touched);
        last = Math.max(last, end.number());
      } else {
        noteIfPassedOver(worker, end, handled);
      }
    }
    Set<String> present = onRunning(worker, report);
    endMissing(worker, report, present, askedMs, touched);
    writeTouched(touched);
    if (last > handled) {
      term.workers.record(worker).takeIn(last);
      acknowledgeOnceKept(worker, last);
    } else {
      term.flush();
    }
    term.forgetIfIdle(worker);
  }

  // An end that was taken in before is listed again until the worker may forget it; its run is over
  // by then.
  private void noteIfPassedOver(String worker, WorkerInventory.EndedTask end, long handled) {
    Optional<MemberRun> member =
        term.runOf(end.task(), end.run())
            .map(run -> run.member(end.task()))
            .filter(known -> known.worker().equals(worker) && !known.ended());
    if (member.isPresent()) {
      term.note(
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
              + handled
              + " were taken in");
    }
  }

  private void noteSpeed(String worker, WorkerInventory report) {
    if (leavesSlowAside) {
      speeds.observe(worker, withoutStopping(report), term.nowMs);
      setAsideIfSlow(worker);
    }
  }

  // A task that is being stopped makes no progress, however fast its worker is.
  private WorkerInventory withoutStopping(WorkerInventory report) {
    List<WorkerInventory.RunningTask> atWork =
        report.running().stream().filter(task -> !isStopping(task)).toList();
    return new WorkerInventory(report.bornMs(), report.clockMs(), atWork, report.ended());
  }

  private boolean isStopping(WorkerInventory.RunningTask task) {
    return term.runOf(task.task(), task.run()).filter(GroupRun::stopping).isPresent();
  }

  /** Takes back the workers of which nothing was measured for a while. */
  void tick() {
    term.workers.aside().forEach(this::setAsideIfSlow);
  }

  private void setAsideIfSlow(String worker) {
    Optional<Double> share = speeds.slowShare(worker, term.nowMs);
    if (term.workers.setAside(worker, share.isPresent())) {
      term.dirty = true;
      RunEvent.Kind kind =
          share.isPresent() ? RunEvent.Kind.WORKER_SLOW : RunEvent.Kind.WORKER_AT_SPEED;
      Optional<String> reason =
          share.map(known -> "its tasks move at " + Math.round(known * PERCENT) + "% of before");
      term.note(kind, "", worker, reason.orElse("its tasks move as before, or it is tried again"));
    }
  }

  private void onEnd(String worker, WorkerInventory.EndedTask end, Set<GroupRun> touched) {
    JobRuns progress = term.jobs.get(end.task().jobId());
    if (progress == null || end.task().step() >= progress.job().steps().size()) {
      return;
    }
    StepSpec step = progress.job().steps().get(end.task().step());
    GroupKey group = GroupKey.of(end.task(), step);
    GroupRun run = term.runs.of(group).orElse(null);
    if (end.kind() == EndKind.DONE && !step.longRunning()) {
      lifecycle.complete(progress, group, end.run());
      return;
    }
    if (end.kind() == EndKind.FAILED) {
      lifecycle.noteFailure(progress, group, worker, end.run());
      lifecycle.failIfWaitingInVain(progress, group);
    }
    if (run != null && run.launched() && run.state().run() == end.run()) {
      MemberRun member = run.member(end.task());
      if (member.worker().equals(worker) && !member.ended()) {
        lifecycle.endMember(run, member, end.checkpoint());
        touched.add(run);
      }
    }
  }

  // What a worker runs is confirmed, or stopped if nothing is known of it for some time.
  private Set<String> onRunning(String worker, WorkerInventory report) {
    Set<String> present = new HashSet<>();
    Map<String, Long> unknown = new HashMap<>();
    for (WorkerInventory.RunningTask task : report.running()) {
      String key = keyOf(task.task(), task.run());
      present.add(key);
      Optional<GroupRun> run = term.runOf(task.task(), task.run());
      MemberRun member = run.map(found -> found.member(task.task())).orElse(null);
      if (member != null && member.worker().equals(worker) && !member.ended()) {
        member.reported(term.nowMs);
      } else {
        unknown.put(key, stopStray(worker, task, key));
      }
    }
    if (unknown.isEmpty()) {
      strays.remove(worker);
    } else {
      strays.put(worker, unknown);
    }
    return present;
  }

  // Stops an unknown run that was reported for some time; returns since when it counts as reported.
  private long stopStray(String worker, WorkerInventory.RunningTask task, String key) {
    long since = strays.getOrDefault(worker, Map.of()).getOrDefault(key, term.nowMs);
    if (term.nowMs - since < STRAY_GRACE_MS) {
      return since;
    }
    term.note(
        RunEvent.Kind.STRAY_RUN, task.task().jobId(), worker, "run " + task.run() + " unknown");
    term.effects.stop(new StopOrder(worker, task.task(), task.run()));
    return term.nowMs;
  }

  private void endMissing(
      String worker,
      WorkerInventory report,
      Set<String> present,
      long askedMs,
      Set<GroupRun> touched) {
    if (report.ended().size() >= MOST_ENDS_LISTED) {
      return;
    }
    report.ended().forEach(end -> present.add(keyOf(end.task(), end.run())));
    for (GroupRun run : term.runs.on(worker)) {
      for (MemberRun member : run.members()) {
        boolean here = member.worker().equals(worker) && !member.ended();
        boolean missing = !present.contains(keyOf(run.task(member), run.state().run()));
        if (here && missing && member.isOverIfMissingAt(askedMs)) {
          lifecycle.endMissing(run, member);
          touched.add(run);
        }
      }
    }
  }

  private void writeTouched(Set<GroupRun> touched) {
    for (GroupRun run : touched) {
      if (term.runs.of(run.group()).orElse(null) != run) {
        continue;
      }
      lifecycle.stopRun(run, "a task of it has ended");
      if (term.runs.of(run.group()).orElse(null) == run && lifecycle.isActive(run)) {
        term.outgoing.add(
            LogEntry.of(LogKey.group(run.group()), new LogContent.Group(run.state())));
      }
    }
  }

  private void acknowledgeOnceKept(String worker, long number) {
    term.flushThen(
        () -> {
          term.workers.record(worker).acknowledge(number);
          term.effects.look(worker);
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
