package org.wheatwall.app.soak;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Finds accepted jobs that make no progress although capacity is free, by the events of the
 * workers. {@link #check} is called repeatedly while no disturbance is active and all workers are
 * available with their full capacity.
 */
final class StuckJobFinder {
  // The required limit.
  private static final int STUCK_AFTER_MS = 3000;
  // A gang may not fit even if the total free capacity suffices, because of fragmentation.
  private static final int CAPACITY_FACTOR = 2;

  private final int workers;
  private final int acceleratorsEach;
  private final Map<String, Long> startableSinceMs = new HashMap<>();
  private final Map<String, String> found = new TreeMap<>();

  /** Creates a finder for a number of workers of the same capacity. */
  StuckJobFinder(int workers, int acceleratorsEach) {
    this.workers = workers;
    this.acceleratorsEach = acceleratorsEach;
  }

  /**
   * Checks all jobs at one time.
   *
   * @param events all events of the workers up to that time
   * @param nowMs time on the clock of the events
   */
  void check(Collection<ObservedJob> jobs, Collection<TaskLedger.Event> events, long nowMs) {
    RunningTasks running = new RunningTasks(jobs, events);
    for (ObservedJob job : jobs) {
      if (!mayStart(job, running) || !hasFreeCapacity(job, running)) {
        startableSinceMs.remove(job.id());
        continue;
      }
      long startableFromMs = startableSinceMs.merge(job.id(), nowMs, Math::min);
      long sinceMs = Math.max(startableFromMs, running.lastChangeMs(job));
      if (nowMs - sinceMs >= STUCK_AFTER_MS) {
        found.putIfAbsent(job.id(), describe(job, running, nowMs - sinceMs));
      }
    }
  }

  private static boolean mayStart(ObservedJob job, RunningTasks running) {
    boolean open = job.isAccepted() && !job.cancelSent() && !job.hasEnded();
    boolean crashes = job.plan().crashesWorker();
    return open && !crashes && !running.hasRunningTask(job) && !running.isDone(job);
  }

  private boolean hasFreeCapacity(ObservedJob job, RunningTasks running) {
    boolean mostlyFree = 2 * running.acceleratorsInUse() < workers * acceleratorsEach;
    int tasksToStart = job.plan().gangSize() > 1 ? job.tasks() : 1;
    return mostlyFree && tasksThatFit(job, running) >= CAPACITY_FACTOR * tasksToStart;
  }

  private int tasksThatFit(ObservedJob job, RunningTasks running) {
    int each = job.plan().accelerators();
    Collection<Integer> inUseByWorker = running.acceleratorsInUseByWorker();
    int fit = (workers - inUseByWorker.size()) * (acceleratorsEach / each);
    for (int inUse : inUseByWorker) {
      fit += Math.max(0, acceleratorsEach - inUse) / each;
    }
    return fit;
  }

  private String describe(ObservedJob job, RunningTasks running, long stuckForMs) {
    return String.format(
        "job %s of %d tasks, %d accelerators each, had nothing running for %d ms while %d of %d"
            + " accelerators were in use",
        job.id(),
        job.tasks(),
        job.plan().accelerators(),
        stuckForMs,
        running.acceleratorsInUse(),
        workers * acceleratorsEach);
  }

  /** Returns a description of each stuck job found. */
  Collection<String> found() {
    return found.values();
  }
}
