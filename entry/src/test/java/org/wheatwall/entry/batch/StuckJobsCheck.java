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
 * Finds jobs that make no progress although they could run. Such a job is accepted and unfinished,
 * and for some seconds none of its tasks runs while reachable workers have free capacity for two of
 * its groups and less than half of all accelerators are in use. Applies to jobs with a single step
 * that may run on any host.
 */
final class StuckJobsCheck {
  private static final int CHECK_INTERVAL_MS = 250;
  private static final int MAX_STUCK_MS = 3000;
  private static final int MIN_FITTING_GROUPS = 2;
  private static final String DONE = EndKind.DONE.toString();

  private final VirtualTime time;
  private final SimulatedWorkers workers;
  private final Map<String, BatchJob> jobs = new LinkedHashMap<>();
  private final Map<String, Long> stuckSinceMs = new HashMap<>();
  private final Set<TaskName> doneTasks = new HashSet<>();
  private final Set<TaskName> runningTasks = new HashSet<>();
  private final Map<String, Integer> runningTasksByJob = new HashMap<>();
  private final List<StuckJob> stuckJobs = new ArrayList<>();
  private int eventsRead;

  /** A job that makes no progress, and since when. */
  record StuckJob(String id, long sinceMs) {}

  StuckJobsCheck(VirtualTime time, SimulatedWorkers workers) {
    this.time = time;
    this.workers = workers;
  }

  /** Checks immediately and then periodically for {@code ms}. */
  void checkFor(long ms) {
    check();
    if (ms >= CHECK_INTERVAL_MS) {
      time.after(CHECK_INTERVAL_MS, () -> checkFor(ms - CHECK_INTERVAL_MS));
    }
  }

  /** Adds an accepted job to the jobs to check. */
  void addJob(BatchJob job) {
    jobs.put(job.id(), job);
  }

  /** Removes a job that need not run any more, such as a cancelled one. */
  void removeJob(String jobId) {
    jobs.remove(jobId);
    stuckSinceMs.remove(jobId);
  }

  /** Returns the jobs found to be stuck, each once. */
  List<StuckJob> stuckJobs() {
    return List.copyOf(stuckJobs);
  }

  /** Returns the number of tasks of accepted jobs that neither run nor are done. */
  int waitingTasks() {
    readEvents();
    int waiting = 0;
    for (BatchJob job : jobs.values()) {
      StepSpec step = job.steps().get(0);
      for (int i = 0; i < step.tasks(); i++) {
        TaskName task = new TaskName(job.id(), 0, 0, i);
        waiting += doneTasks.contains(task) || runningTasks.contains(task) ? 0 : 1;
      }
    }
    return waiting;
  }

  private void readEvents() {
    List<TaskLedger.Event> events = workers.ledger().events();
    for (TaskLedger.Event event : events.subList(eventsRead, events.size())) {
      applyEvent(event);
    }
    eventsRead = events.size();
  }

  // A done task has to run again if its worker was lost before it reported the end.
  private void applyEvent(TaskLedger.Event event) {
    String job = event.task().jobId();
    stuckSinceMs.remove(job);
    runningTasksByJob.merge(job, event.isStart() ? 1 : -1, Integer::sum);
    if (event.isStart()) {
      runningTasks.add(event.task());
      doneTasks.remove(event.task());
    } else {
      runningTasks.remove(event.task());
    }
    if (event.kind().equals(DONE)) {
      doneTasks.add(event.task());
    }
  }

  private void check() {
    readEvents();
    boolean isHalfFree = isMoreThanHalfFree();
    for (BatchJob job : List.copyOf(jobs.values())) {
      if (isHalfFree && isStuck(job)) {
        recordStuck(job);
      } else {
        stuckSinceMs.remove(job.id());
      }
    }
  }

  private void recordStuck(BatchJob job) {
    long sinceMs = stuckSinceMs.computeIfAbsent(job.id(), id -> time.nowMs());
    if (time.nowMs() - sinceMs >= MAX_STUCK_MS) {
      stuckJobs.add(new StuckJob(job.id(), sinceMs));
      removeJob(job.id());
    }
  }

  private boolean isStuck(BatchJob job) {
    return runningTasksByJob.getOrDefault(job.id(), 0) == 0
        && !isDone(job)
        && hasCapacityTwice(job);
  }

  private boolean isDone(BatchJob job) {
    for (int i = 0; i < job.steps().get(0).tasks(); i++) {
      if (!doneTasks.contains(new TaskName(job.id(), 0, 0, i))) {
        return false;
      }
    }
    return true;
  }

  private boolean isMoreThanHalfFree() {
    int totalAccelerators = 0;
    int acceleratorsInUse = 0;
    for (int i = 0; i < workers.count(); i++) {
      totalAccelerators += workers.process(i).accelerators();
      acceleratorsInUse += workers.isDown(i) ? 0 : workers.process(i).acceleratorsInUse();
    }
    return acceleratorsInUse * 2 < totalAccelerators;
  }

  private boolean hasCapacityTwice(BatchJob job) {
    StepSpec step = job.steps().get(0);
    Map<String, Integer> tasksByRack = new HashMap<>();
    for (int i = 0; i < workers.count(); i++) {
      String rack = step.sameRack() ? workers.rackOf(i) : "";
      tasksByRack.merge(rack, fittingTasksOn(i, step), Integer::sum);
    }
    int groups = 0;
    for (int tasks : tasksByRack.values()) {
      groups += tasks / step.tasksInGroup();
    }
    return groups >= MIN_FITTING_GROUPS;
  }

  private int fittingTasksOn(int worker, StepSpec step) {
    boolean hasLabel = step.hostLabel().map(SimulatedWorkers::haveLabel).orElse(true);
    if (!hasLabel || !workers.isServing(worker)) {
      return 0;
    }
    int free = workers.process(worker).accelerators() - workers.process(worker).acceleratorsInUse();
    return Math.max(0, free) / step.taskAmount().accelerators();
  }
}
