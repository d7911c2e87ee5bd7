package org.wheatwall.app.soak;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Finds accepted jobs that stand still beside room, by what workers saw. To be looked at again and
 * again in a calm time, with workers that are all there and have all their room.
 */
final class StuckJobFinder {
  // The bound that the users ask for.
  private static final int STUCK_AFTER_MS = 3000;
  // A gang may not fit where the sum of what is free would do.
  private static final int CAPACITY_FACTOR = 2;

  private final int workers;
  private final int acceleratorsEach;
  private final Map<String, Long> startableSinceMs = new HashMap<>();
  private final Map<String, String> found = new TreeMap<>();

  /** Creates the check for a number of workers that have the same room. */
  StuckJobFinder(int workers, int acceleratorsEach) {
    this.workers = workers;
    this.acceleratorsEach = acceleratorsEach;
  }

  /**
   * Looks at what runs at one moment.
   *
   * @param events what workers did until then
   * @param nowMs time on the clock of the events
   */
  void check(Collection<ObservedJob> jobs, Collection<TaskLedger.Event> events, long nowMs) {
    RunningTasks running = new RunningTasks(jobs, events);
    for (ObservedJob job : jobs) {
      if (!mayStart(job, running) || !hasFreeCapacity(job, running)) {
        startableSinceMs.remove(job.id());
        continue;
      }
      long roomSinceMs = startableSinceMs.merge(job.id(), nowMs, Math::min);
      long sinceMs = Math.max(roomSinceMs, running.lastChangeMs(job));
      if (nowMs - sinceMs >= STUCK_AFTER_MS) {
        found.putIfAbsent(job.id(), text(job, running, nowMs - sinceMs));
      }
    }
  }

  private static boolean mayStart(ObservedJob job, RunningTasks running) {
    boolean open = job.isAccepted() && !job.cancelSent() && !job.hasEnded();
    boolean crashes = job.plan().crashesWorker();
    return open && !crashes && !running.hasRunningTask(job) && running.doneTasks(job) < job.tasks();
  }

  private boolean hasFreeCapacity(ObservedJob job, RunningTasks running) {
    boolean mostIsFree = 2 * running.acceleratorsInUse() < workers * acceleratorsEach;
    int together = job.plan().gang() > 1 ? job.tasks() : 1;
    return mostIsFree && tasksThatFit(job, running) >= CAPACITY_FACTOR * together;
  }

  private int tasksThatFit(ObservedJob job, RunningTasks running) {
    int each = job.plan().accelerators();
    Collection<Integer> taken = running.acceleratorsInUseByWorker();
    int fit = (workers - taken.size()) * (acceleratorsEach / each);
    for (int held : taken) {
      fit += Math.max(0, acceleratorsEach - held) / each;
    }
    return fit;
  }

  private String text(ObservedJob job, RunningTasks running, long forMs) {
    return String.format(
        "job %s of %d tasks, %d accelerators each, had nothing running for %d ms while %d of %d"
            + " accelerators were in use",
        job.id(),
        job.tasks(),
        job.plan().accelerators(),
        forMs,
        running.acceleratorsInUse(),
        workers * acceleratorsEach);
  }

  /** Returns what was found, a text a job. */
  Collection<String> found() {
    return found.values();
  }
}
