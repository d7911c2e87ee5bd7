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
 * Learns from the progress of running tasks which workers have turned slow or stand still. Each
 * task is compared with itself: a task that moves at less than a third of its own best speed is
 * slowed, whatever its length and however wrong its declaration. A worker is slow while more of its
 * tasks are slowed than are not; once nothing there can be measured it counts as slow for a while
 * and is then tried again.
 *
 * <p>Times are those of the worker's own clock, so that a host that is itself slow or frozen finds
 * no worker slow.
 *
 * <p>Guards against urgent work on slow workers: on a day with a quarter of them seven times slower
 * for 9 s, 0.034 more of the credit owed was earned (6 pairs of runs).
 */
final class SlowWorkerDetector {
  /** How long at least a worker counts as slow after a measure that showed it, milliseconds. */
  static final int MIN_SLOW_MS = 3000;

  // A window is long enough for the progress to be more than rounding: it ends when a task has
  // moved
  // so far, or should have by its best speed.
  private static final int WINDOW_MS = 600;
  private static final int WINDOW_PERCENT = 3;
  private static final double SLOWED_SHARE = 1.0 / 3;
  // A member of a gang that has nothing left to do waits for the others.
  private static final int NEARLY_DONE_PERCENT = 97;

  private final Map<String, Worker> workers = new HashMap<>();

  /** What is known of one worker. */
  private static final class Worker {
    private final Map<Run, Track> tracks = new HashMap<>();
    private long slowUntilMs = Long.MIN_VALUE;
    private double share;
  }

  private record Run(TaskName task, int number) {}

  /** How one run progresses, percent a millisecond. */
  private static final class Track {
    private long fromMs;
    private int fromPercent;
    private double best;
    private double latest;
    private int windows;
    private long windowMs;

    private Track(long fromMs, int fromPercent) {
      this.fromMs = fromMs;
      this.fromPercent = fromPercent;
    }

    private boolean take(long atMs, int percent) {
      long tookMs = atMs - fromMs;
      int moved = percent - fromPercent;
      boolean overdue = best > 0 && tookMs * best >= WINDOW_PERCENT;
      if (tookMs < WINDOW_MS || (moved < WINDOW_PERCENT && !overdue)) {
        return false;
      }
      latest = (double) moved / tookMs;
      best = Math.max(best, latest);
      windows++;
      windowMs = tookMs;
      fromMs = atMs;
      fromPercent = percent;
      return true;
    }

    private boolean comparable() {
      return windows > 1;
    }

    private boolean slowed() {
      return comparable() && latest < best * SLOWED_SHARE;
    }
  }

  /** Takes in a report of a worker. */
  void observe(String id, WorkerInventory report, long nowMs) {
    Worker worker = workers.computeIfAbsent(id, key -> new Worker());
    Set<Run> present = new HashSet<>();
    boolean measured = false;
    for (WorkerInventory.RunningTask task : report.running()) {
      Run run = new Run(task.task(), task.run());
      present.add(run);
      if (task.percent() < NEARLY_DONE_PERCENT) {
        Track track =
            worker.tracks.computeIfAbsent(run, key -> new Track(report.clockMs(), task.percent()));
        measured |= track.take(report.clockMs(), task.percent());
      }
    }
    worker.tracks.keySet().retainAll(present);
    if (measured) {
      judge(worker, nowMs);
    }
  }

  private static void judge(Worker worker, long nowMs) {
    List<Track> comparable = worker.tracks.values().stream().filter(Track::comparable).toList();
    List<Track> slowed = comparable.stream().filter(Track::slowed).toList();
    if (slowed.size() * 2 > comparable.size()) {
      long longestMs = slowed.stream().mapToLong(track -> track.windowMs).max().orElse(0);
      worker.slowUntilMs = nowMs + Math.max(MIN_SLOW_MS, 2 * longestMs);
      worker.share =
          slowed.stream().mapToDouble(track -> track.latest / track.best).average().orElse(0);
    } else if (!comparable.isEmpty()) {
      worker.slowUntilMs = Long.MIN_VALUE;
    }
  }

  /** Returns at what share of their own best speed tasks move there, if it is slow. */
  Optional<Double> relativeSpeedIfSlow(String id, long nowMs) {
    return Optional.ofNullable(workers.get(id))
        .filter(worker -> nowMs < worker.slowUntilMs)
        .map(worker -> worker.share);
  }

  /** Forgets a worker. */
  void forget(String id) {
    workers.remove(id);
  }
}
