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

/** Takes in what workers report: ends, what still runs, and what is missing. */
final class WorkerReports {
  private static final int STRAY_GRACE_MS = 1500;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final Map<String, Long> strays = new HashMap<>();
  private final Map<String, Long> handledEnds = new HashMap<>();

  WorkerReports(TermState term, RunLifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
  }

  /** Returns whether ends of a worker were handled that it has not been told to forget. */
  boolean leftToAcknowledge(String worker) {
    return handledEnds.getOrDefault(worker, 0L) > acknowledged(worker);
  }

  private long acknowledged(String worker) {
    return term.workers.find(worker).map(WorkerRecord::acknowledged).orElse(0L);
  }

  /**
   * Takes in the report of a worker.
   *
   * @param askedMs when the report was asked for
   */
  void onReport(String worker, WorkerInventory report, long askedMs) {
    term.heard(worker);
    Set<GroupRun> touched = new LinkedHashSet<>();
    long handled = handledEnds.getOrDefault(worker, 0L);
    long last = handled;
    for (WorkerInventory.EndedTask end : report.ended()) {
      if (end.number() > handled) {
        onEnd(worker, end, touched);
        last = Math.max(last, end.number());
      }
    }
    Set<String> present = onRunning(worker, report);
    endMissing(worker, report, present, askedMs, touched);
    writeTouched(touched);
    if (last > handled) {
      handledEnds.put(worker, last);
    }
    acknowledgeAfterKeeping(worker, last);
    term.forgetIfIdle(worker);
  }

  private void onEnd(String worker, WorkerInventory.EndedTask end, Set<GroupRun> touched) {
    JobRuns progress = term.jobs.get(end.task().jobId());
    if (progress == null || end.task().step() >= progress.job().steps().size()) {
      return;
    }
    StepSpec step = progress.job().steps().get(end.task().step());
    GroupKey group = GroupKey.of(end.task(), step);
    GroupRun run = term.runs.get(group);
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
        member.end();
        run.setState(
            progress.state(group).memberEnded(member.position()).savedAt(end.checkpoint()));
        progress.set(group, run.state());
        touched.add(run);
      }
    }
  }

  // What a worker runs is confirmed, or stopped if nothing is known of it for some time.
  private Set<String> onRunning(String worker, WorkerInventory report) {
    Set<String> present = new HashSet<>();
    for (WorkerInventory.RunningTask task : report.running()) {
      present.add(keyOf(task.task(), task.run()));
      Optional<GroupRun> run = term.runOf(task.task(), task.run());
      MemberRun member = run.map(found -> found.member(task.task())).orElse(null);
      if (member != null && member.worker().equals(worker) && !member.ended()) {
        member.confirm(term.nowMs);
        member.progress(task.percent(), term.nowMs);
      } else {
        stray(worker, task);
      }
    }
    return present;
  }

  private void stray(String worker, WorkerInventory.RunningTask task) {
    String key = worker + "/" + keyOf(task.task(), task.run());
    Long since = strays.putIfAbsent(key, term.nowMs);
    if (since == null || term.nowMs - since < STRAY_GRACE_MS) {
      term.effects.look(worker);
      return;
    }
    strays.put(key, term.nowMs);
    term.note(
        RunEvent.Kind.STRAY_RUN, task.task().jobId(), worker, "run " + task.run() + " unknown");
    term.effects.stop(new StopOrder(worker, task.task(), task.run()));
  }

  private void endMissing(
      String worker,
      WorkerInventory report,
      Set<String> present,
      long askedMs,
      Set<GroupRun> touched) {
    report.ended().forEach(end -> present.add(keyOf(end.task(), end.run())));
    for (GroupRun run : List.copyOf(term.runsByWorker.getOrDefault(worker, Set.of()))) {
      for (MemberRun member : run.members()) {
        boolean here = member.worker().equals(worker) && !member.ended();
        boolean missing = !present.contains(keyOf(run.task(member), run.state().run()));
        if (here && missing && member.isOverIfMissingAt(askedMs)) {
          lifecycle.endMember(run, member);
          touched.add(run);
        }
      }
    }
  }

  private void writeTouched(Set<GroupRun> touched) {
    for (GroupRun run : touched) {
      if (term.runs.get(run.group()) != run) {
        continue;
      }
      lifecycle.stopRun(run, "a task of it has ended");
      if (term.runs.get(run.group()) == run) {
        term.outgoing.add(
            LogEntry.of(LogKey.group(run.group()), new LogContent.Group(run.state())));
      }
    }
  }

  private void acknowledgeAfterKeeping(String worker, long number) {
    term.flush(
        () -> {
          if (number > acknowledged(worker)) {
            term.workers.record(worker).acknowledge(number);
            term.effects.look(worker);
          }
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
