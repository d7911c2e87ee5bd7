package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Looks from outside for jobs that stand though they need not: accepted, not over, nothing of them
 * running for some seconds, and all that time room for a group of theirs twice over on workers that
 * serve, and less than half of all accelerators in use. For jobs of one step that may run anywhere.
 */
final class LostJobsCheck {
  private static final int LOOK_EACH_MS = 250;
  private static final int LONGEST_STANDING_MS = 3000;
  private static final int TIMES_OVER = 2;
  private static final String DONE = EndKind.DONE.toString();

  private final VirtualTime time;
  private final SimulatedWorkers workers;
  private final Map<String, BatchJob> jobs = new LinkedHashMap<>();
  private final Map<String, Long> standsSinceMs = new HashMap<>();
  private final Set<TaskName> done = new HashSet<>();
  private final Set<TaskName> running = new HashSet<>();
  private final Map<String, Integer> runningOf = new HashMap<>();
  private final List<LostJob> lost = new ArrayList<>();
  private int eventsRead;

  /** A job that stands, and since when. */
  record LostJob(String id, long sinceMs) {}

  LostJobsCheck(VirtualTime time, SimulatedWorkers workers) {
    this.time = time;
    this.workers = workers;
  }

  /** Looks now, and again and again for some time. */
  void lookFor(long ms) {
    look();
    if (ms >= LOOK_EACH_MS) {
      time.after(LOOK_EACH_MS, () -> lookFor(ms - LOOK_EACH_MS));
    }
  }

  /** Notes that a job was accepted. */
  void accepted(BatchJob job) {
    jobs.put(job.id(), job);
  }

  /** Notes that a job need not run any more, such as one that is cancelled. */
  void over(String jobId) {
    jobs.remove(jobId);
    standsSinceMs.remove(jobId);
  }

  /** Returns what was found, each job once. */
  List<LostJob> lost() {
    return List.copyOf(lost);
  }

  /** Returns how many tasks of the accepted jobs neither run nor are done. */
  int waitingTasks() {
    readEvents();
    int waiting = 0;
    for (BatchJob job : jobs.values()) {
      StepSpec step = job.steps().get(0);
      for (int i = 0; i < step.tasks(); i++) {
        TaskName task = new TaskName(job.id(), 0, 0, i);
        waiting += done.contains(task) || running.contains(task) ? 0 : 1;
      }
    }
    return waiting;
  }

  private void readEvents() {
    List<TaskLedger.Event> events = workers.ledger().events();
    for (TaskLedger.Event event : events.subList(eventsRead, events.size())) {
      read(event);
    }
    eventsRead = events.size();
  }

  // A task that was done may have to run again, if its worker was lost before anybody knew.
  private void read(TaskLedger.Event event) {
    String job = event.task().jobId();
    standsSinceMs.remove(job);
    runningOf.merge(job, event.isStart() ? 1 : -1, Integer::sum);
    if (event.isStart()) {
      running.add(event.task());
      done.remove(event.task());
    } else {
      running.remove(event.task());
    }
    if (event.kind().equals(DONE)) {
      done.add(event.task());
    }
  }

  private void look() {
    readEvents();
    boolean halfFree = moreThanHalfIsFree();
    for (BatchJob job : List.copyOf(jobs.values())) {
      if (halfFree && stands(job)) {
        noteStanding(job);
      } else {
        standsSinceMs.remove(job.id());
      }
    }
  }

  private void noteStanding(BatchJob job) {
    long sinceMs = standsSinceMs.computeIfAbsent(job.id(), id -> time.nowMs());
    if (time.nowMs() - sinceMs >= LONGEST_STANDING_MS) {
      lost.add(new LostJob(job.id(), sinceMs));
      over(job.id());
    }
  }

  private boolean stands(BatchJob job) {
    return runningOf.getOrDefault(job.id(), 0) == 0 && !isDone(job) && fitsTwiceOver(job);
  }

  private boolean isDone(BatchJob job) {
    for (int i = 0; i < job.steps().get(0).tasks(); i++) {
      if (!done.contains(new TaskName(job.id(), 0, 0, i))) {
        return false;
      }
    }
    return true;
  }

  private boolean moreThanHalfIsFree() {
    int all = 0;
    int inUse = 0;
    for (int i = 0; i < workers.count(); i++) {
      all += workers.process(i).accelerators();
      inUse += workers.isDown(i) ? 0 : workers.process(i).acceleratorsInUse();
    }
    return inUse * 2 < all;
  }

  private boolean fitsTwiceOver(BatchJob job) {
    StepSpec step = job.steps().get(0);
    Map<String, Integer> tasksByPlace = new HashMap<>();
    for (int i = 0; i < workers.count(); i++) {
      String place = step.sameRack() ? workers.rackOf(i) : "";
      tasksByPlace.merge(place, tasksOn(i, step), Integer::sum);
    }
    int groups = 0;
    for (int tasks : tasksByPlace.values()) {
      groups += tasks / step.tasksInGroup();
    }
    return groups >= TIMES_OVER;
  }

  private int tasksOn(int worker, StepSpec step) {
    boolean labelled = step.hostLabel().map(SimulatedWorkers::carry).orElse(true);
    if (!labelled || !workers.serves(worker)) {
      return 0;
    }
    int free = workers.process(worker).accelerators() - workers.process(worker).acceleratorsInUse();
    return Math.max(0, free) / step.taskAmount().accelerators();
  }
}
