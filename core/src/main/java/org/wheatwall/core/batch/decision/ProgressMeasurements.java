package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.RunTimeRatios;

/**
 * Measures from the progress of running tasks how long they take on their workers, for {@link
 * RunTimeRatios}, and when their runs are expected to end, for the scheduler.
 */
final class ProgressMeasurements {
  // A gang member that has finished its work waits for the others near 100%.
  private static final int NEARLY_DONE_PERCENT = 97;
  private static final int PERCENT = 100;

  private final TermState term;
  private final RunTimeTracker runTimes;
  private final Map<String, Map<RunName, MeasuredRun>> runsByWorker = new HashMap<>();

  private record RunName(TaskName task, int number) {}

  private static final class MeasuredRun {
    private final ProgressWindow window;
    private final GroupKey group;
    private final Optional<RunTimeRatios.Run> comparison;

    private MeasuredRun(
        ProgressWindow window, GroupKey group, Optional<RunTimeRatios.Run> comparison) {
      this.window = window;
      this.group = group;
      this.comparison = comparison;
    }
  }

  ProgressMeasurements(TermState term, RunTimeTracker runTimes) {
    this.term = term;
    this.runTimes = runTimes;
  }

  /**
   * Measures the tasks of a worker by its report, which must not contain tasks that are being
   * stopped.
   *
   * @param slow whether the worker has suddenly become slow: its tasks tell nothing lasting now
   */
  void observe(String worker, WorkerInventory report, boolean slow) {
    Map<RunName, MeasuredRun> runs = runsByWorker.computeIfAbsent(worker, id -> new HashMap<>());
    Set<RunName> present = new HashSet<>();
    for (WorkerInventory.RunningTask task : report.running()) {
      Optional<GroupRun> run =
          term.findRun(task.task(), task.run()).filter(found -> isMeasurable(found, task, worker));
      if (run.isPresent()) {
        present.add(nameOf(run.get(), task));
        observe(worker, report, task, run.get(), runs, slow);
      }
    }
    endMissing(runs, present, report);
    if (runs.isEmpty()) {
      runsByWorker.remove(worker);
    }
  }

  // Shares the text of the job's identifier with the run, which saves memory.
  private static RunName nameOf(GroupRun run, WorkerInventory.RunningTask task) {
    return new RunName(run.task(run.member(task.task())), task.run());
  }

  private static boolean isMeasurable(
      GroupRun run, WorkerInventory.RunningTask task, String worker) {
    return !run.step().longRunning() && run.member(task.task()).worker().equals(worker);
  }

  private void observe(
      String worker,
      WorkerInventory report,
      WorkerInventory.RunningTask task,
      GroupRun run,
      Map<RunName, MeasuredRun> runs,
      boolean slow) {
    MeasuredRun measured =
        runs.computeIfAbsent(
            nameOf(run, task),
            name ->
                new MeasuredRun(
                    new ProgressWindow(report.clockMs(), task.percent()),
                    run.group(),
                    startComparison(run, worker)));
    boolean nearlyDone = task.percent() >= NEARLY_DONE_PERCENT;
    if (slow) {
      measured.window.restart(report.clockMs(), task.percent());
    } else if (!nearlyDone) {
      measured.window.add(report.clockMs(), task.percent());
      OptionalDouble totalMs = measured.window.totalMs();
      if (totalMs.isPresent()) {
        measured.comparison.ifPresent(
            known ->
                runTimes
                    .runTimeRatios()
                    .measure(
                        known, totalMs.getAsDouble(), measured.window.relativeError(), term.nowMs));
      }
    }
    OptionalDouble remainingMs =
        nearlyDone
            ? OptionalDouble.of(remainingOfNearlyDone(measured.window, task.percent()))
            : measured.window.remainingMs();
    if (remainingMs.isPresent()) {
      observeRemaining(run, task.task(), (long) remainingMs.getAsDouble());
    }
  }

  private static double remainingOfNearlyDone(ProgressWindow window, int percent) {
    return window.totalMs().orElse(0) * Math.max(0, PERCENT - percent) / PERCENT;
  }

  private Optional<RunTimeRatios.Run> startComparison(GroupRun run, String worker) {
    GroupKey group = run.group();
    return run.step().tasks() < 2
        ? Optional.empty()
        : Optional.of(runTimes.runTimeRatios().start(RunTimeTracker.stepName(group), worker));
  }

  private void observeRemaining(GroupRun run, TaskName task, long remainingMs) {
    long endMs = run.recordExpectedEnd(run.member(task).position(), term.nowMs + remainingMs);
    term.scheduler.observeRemaining(run.attemptId(), endMs - term.nowMs, term.nowMs);
  }

  private void endMissing(
      Map<RunName, MeasuredRun> runs, Set<RunName> present, WorkerInventory report) {
    if (runs.size() == present.size()) {
      return;
    }
    Set<RunName> failed = new HashSet<>();
    for (WorkerInventory.EndedTask end : report.ended()) {
      if (end.kind() == EndKind.FAILED) {
        failed.add(new RunName(end.task(), end.run()));
      }
    }
    Iterator<Map.Entry<RunName, MeasuredRun>> iterator = runs.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<RunName, MeasuredRun> entry = iterator.next();
      if (!present.contains(entry.getKey())) {
        iterator.remove();
        end(entry.getKey(), entry.getValue(), failed.contains(entry.getKey()));
      }
    }
  }

  // A run that failed may have done something other than its siblings.
  private void end(RunName name, MeasuredRun measured, boolean failed) {
    if (measured.comparison.isEmpty()) {
      return;
    }
    RunTimeRatios.Run run = measured.comparison.get();
    if (failed) {
      runTimes.runTimeRatios().discard(run);
    } else if (runTimes.runTimeRatios().finish(run, term.nowMs)) {
      runTimes.skipRatioOf(measured.group, name.number());
    }
  }

  /** Removes a worker that is gone; what its runs have shown remains. */
  void remove(String worker) {
    Map<RunName, MeasuredRun> runs = runsByWorker.remove(worker);
    if (runs != null) {
      runs.forEach((name, run) -> end(name, run, false));
    }
  }

  /** Returns the number of workers whose runs are measured. */
  int workers() {
    return runsByWorker.size();
  }
}
