package org.wheatwall.core.batch.decision;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/**
 * Judges workers by the progress of their tasks: which have suddenly become slow ({@link
 * SlowWorkerDetector}), and how long tasks take on each ({@link ProgressMeasurements}).
 */
final class WorkerProgress {
  private static final int PERCENT = 100;

  private final TermState term;
  private final Optional<SlowWorkerDetector> slowWorkers;
  private final Optional<ProgressMeasurements> measurements;

  /**
   * Creates an instance without measurements.
   *
   * @param runTimes where run time ratios are learned, empty if they are not used
   */
  WorkerProgress(TermState term, Mechanisms mechanisms, Optional<RunTimeTracker> runTimes) {
    this.term = term;
    this.slowWorkers =
        mechanisms.isEnabled(Mechanism.SLOW_WORKERS)
            ? Optional.of(new SlowWorkerDetector())
            : Optional.empty();
    this.measurements = runTimes.map(tracker -> new ProgressMeasurements(term, tracker));
    term.workers.onRemoved(this::remove);
  }

  /** Measures the tasks of a worker by its report. */
  void onReport(String worker, WorkerInventory report) {
    if (slowWorkers.isEmpty() && measurements.isEmpty()) {
      return;
    }
    WorkerInventory progressing = withoutStoppingTasks(report);
    slowWorkers.ifPresent(
        detector -> {
          detector.observe(worker, progressing, term.nowMs);
          updateAvoided(detector, worker);
        });
    measurements.ifPresent(
        known -> known.observe(worker, progressing, relativeSpeedIfSlow(worker).isPresent()));
  }

  /** Uses avoided workers again once they no longer count as slow. */
  void tick() {
    slowWorkers.ifPresent(
        detector ->
            term.workers.avoidedWorkers().forEach(worker -> updateAvoided(detector, worker)));
  }

  /** Returns the number of workers for which progress is kept. */
  int workers() {
    return Math.max(
        slowWorkers.map(SlowWorkerDetector::workers).orElse(0),
        measurements.map(ProgressMeasurements::workers).orElse(0));
  }

  private void remove(String worker) {
    slowWorkers.ifPresent(detector -> detector.remove(worker));
    measurements.ifPresent(known -> known.remove(worker));
  }

  private Optional<Double> relativeSpeedIfSlow(String worker) {
    return slowWorkers.flatMap(detector -> detector.relativeSpeedIfSlow(worker, term.nowMs));
  }

  // A task that is being stopped makes no progress, whatever the speed of its worker.
  private WorkerInventory withoutStoppingTasks(WorkerInventory report) {
    List<WorkerInventory.RunningTask> progressing =
        report.running().stream().filter(task -> !isStopping(task)).toList();
    return new WorkerInventory(report.startedAtMs(), report.clockMs(), progressing, report.ended());
  }

  private boolean isStopping(WorkerInventory.RunningTask task) {
    return term.findRun(task.task(), task.run()).filter(GroupRun::stopping).isPresent();
  }

  private void updateAvoided(SlowWorkerDetector detector, String worker) {
    Optional<Double> relativeSpeed = detector.relativeSpeedIfSlow(worker, term.nowMs);
    if (term.workers.setAvoided(worker, relativeSpeed.isPresent())) {
      term.dirty = true;
      RunEvent.Kind kind =
          relativeSpeed.isPresent() ? RunEvent.Kind.WORKER_SLOW : RunEvent.Kind.WORKER_AT_SPEED;
      Optional<String> reason =
          relativeSpeed.map(
              known -> "its tasks move at " + Math.round(known * PERCENT) + "% of before");
      term.logEvent(
          kind, "", worker, reason.orElse("its tasks move as before, or it is tried again"));
    }
  }
}
