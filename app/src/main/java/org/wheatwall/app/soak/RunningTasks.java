package org.wheatwall.app.soak;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/**
 * The tasks that run on workers at one time and the tasks that are done, derived from all events up
 * to that time.
 */
final class RunningTasks {
  private final Map<String, Integer> acceleratorsByJob = new HashMap<>();
  private final Map<String, Set<TaskName>> runningByJob = new HashMap<>();
  private final Map<String, Set<TaskName>> doneByJob = new HashMap<>();
  private final Map<String, Long> lastChangeMsByJob = new HashMap<>();
  private final Map<String, Integer> inUseByWorker = new HashMap<>();

  RunningTasks(Collection<ObservedJob> jobs, Collection<TaskLedger.Event> events) {
    jobs.forEach(job -> acceleratorsByJob.put(job.id(), job.plan().accelerators()));
    events.forEach(this::apply);
  }

  private void apply(TaskLedger.Event event) {
    String job = event.task().jobId();
    lastChangeMsByJob.merge(job, event.atMs(), Math::max);
    int accelerators = acceleratorsByJob.getOrDefault(job, 0);
    Set<TaskName> running = runningByJob.computeIfAbsent(job, id -> new HashSet<>());
    if (event.isStart()) {
      running.add(event.task());
      inUseByWorker.merge(event.worker(), accelerators, Integer::sum);
      return;
    }
    running.remove(event.task());
    inUseByWorker.merge(event.worker(), -accelerators, Integer::sum);
    if (event.kind().equals(EndKind.DONE.toString())) {
      doneByJob.computeIfAbsent(job, id -> new HashSet<>()).add(event.task());
    }
  }

  /** Returns whether a task of the job is running. */
  boolean hasRunningTask(ObservedJob job) {
    return !runningByJob.getOrDefault(job.id(), Set.of()).isEmpty();
  }

  /**
   * Returns when a task of the job last began or ended, in milliseconds of the monotonic clock; 0
   * if none did.
   */
  long lastChangeMs(ObservedJob job) {
    return lastChangeMsByJob.getOrDefault(job.id(), 0L);
  }

  /** Returns whether all tasks of the job are done; in a gang, one that is done stands for all. */
  boolean isDone(ObservedJob job) {
    int done = doneByJob.getOrDefault(job.id(), Set.of()).size();
    return done >= (job.plan().gangSize() > 1 ? 1 : job.tasks());
  }

  /** Returns the number of accelerators in use on all workers. */
  int acceleratorsInUse() {
    return inUseByWorker.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of accelerators in use on each worker that has any in use. */
  Collection<Integer> acceleratorsInUseByWorker() {
    return inUseByWorker.values().stream().filter(inUse -> inUse > 0).toList();
  }
}
