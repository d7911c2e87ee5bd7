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
final class StandingJobs {
  // The bound that the users ask for.
  private static final int STANDS_MS = 3000;
  // A gang may not fit where the sum of what is free would do.
  private static final int ROOM_TIMES = 2;

  private final int workers;
  private final int acceleratorsEach;
  private final Map<String, Long> standsSinceMs = new HashMap<>();
  private final Map<String, String> found = new TreeMap<>();

  /** Creates the check for a number of workers that have the same room. */
  StandingJobs(int workers, int acceleratorsEach) {
    this.workers = workers;
    this.acceleratorsEach = acceleratorsEach;
  }

  /**
   * Looks at what runs at one moment.
   *
   * @param events what workers did until then
   * @param nowMs time on the clock of the events
   */
  void look(Collection<JobFacts> jobs, Collection<TaskLedger.Event> events, long nowMs) {
    RunningTasks running = new RunningTasks(jobs, events);
    for (JobFacts job : jobs) {
      if (!mayStart(job, running) || !hasRoom(job, running)) {
        standsSinceMs.remove(job.id());
        continue;
      }
      long roomSinceMs = standsSinceMs.merge(job.id(), nowMs, Math::min);
      long sinceMs = Math.max(roomSinceMs, running.changedMs(job));
      if (nowMs - sinceMs >= STANDS_MS) {
        found.putIfAbsent(job.id(), text(job, running, nowMs - sinceMs));
      }
    }
  }

  private static boolean mayStart(JobFacts job, RunningTasks running) {
    boolean open = job.accepted() && !job.cancelSent() && !job.ended();
    boolean crashes = job.plan().crashesWorker();
    return open && !crashes && !running.any(job) && running.done(job) < job.tasks();
  }

  private boolean hasRoom(JobFacts job, RunningTasks running) {
    boolean mostIsFree = 2 * running.accelerators() < workers * acceleratorsEach;
    int together = job.plan().gangSize() > 1 ? job.tasks() : 1;
    return mostIsFree && tasksThatFit(job, running) >= ROOM_TIMES * together;
  }

  private int tasksThatFit(JobFacts job, RunningTasks running) {
    int each = job.plan().accelerators();
    Collection<Integer> taken = running.acceleratorsByWorker();
    int fit = (workers - taken.size()) * (acceleratorsEach / each);
    for (int held : taken) {
      fit += Math.max(0, acceleratorsEach - held) / each;
    }
    return fit;
  }

  private String text(JobFacts job, RunningTasks running, long forMs) {
    return String.format(
        "job %s of %d tasks, %d accelerators each, had nothing running for %d ms while %d of %d"
            + " accelerators were in use",
        job.id(),
        job.tasks(),
        job.plan().accelerators(),
        forMs,
        running.accelerators(),
        workers * acceleratorsEach);
  }

  /** Returns what was found, a text a job. */
  Collection<String> found() {
    return found.values();
  }
}
