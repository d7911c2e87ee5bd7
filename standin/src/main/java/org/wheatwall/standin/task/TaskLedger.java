package org.wheatwall.standin.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;

/**
 * Records what the workers of a test did, in order, and which members of each gang are running.
 * Shared by all workers; checks among other rules that no task runs twice at the same time.
 */
public final class TaskLedger {
  private static final String STARTED = "began";
  // Worker crashes that a scheduler may need to observe before it can identify the task that causes
  // them, and starts of that task that are tolerated after those crashes.
  private static final int TOLERATED_CRASHES = 3;
  private static final int TOLERATED_STARTS = 2;

  private final List<Event> events = new ArrayList<>();
  private final Map<TaskName, Holder> running = new HashMap<>();
  private final Map<String, Set<TaskName>> runningByGang = new HashMap<>();
  private final Set<TaskName> acknowledgedDone = new HashSet<>();
  private final Set<String> unlistedWorkers = new HashSet<>();
  // For each run that ended as done: the run of the same task that started later, 0 if none.
  private final Map<Run, Integer> restartAfterDone = new HashMap<>();
  private final Map<TaskName, Integer> workerCrashes = new HashMap<>();
  private final Map<TaskName, Integer> causedCrashes = new HashMap<>();
  private final Map<TaskName, Integer> startsAfterCrashes = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * A start or an end of a run.
   *
   * @param kind {@code began} or the name of the {@link EndKind}
   */
  public record Event(long atMs, String worker, TaskName task, int run, String kind) {
    /** Returns whether this is a start. */
    public boolean isStart() {
      return kind.equals(STARTED);
    }
  }

  /** The worker that a run of a task is on. */
  private record Holder(String worker, int run) {}

  private record Run(TaskName task, int run) {}

  synchronized void recordStart(long atMs, String worker, TaskName task, int run) {
    events.add(new Event(atMs, worker, task, run, STARTED));
    Holder before = running.put(task, new Holder(worker, run));
    if (before != null) {
      violations.add(
          atMs
              + ": "
              + task
              + " run "
              + run
              + " started on "
              + worker
              + " while it ran on "
              + before);
    }
    if (acknowledgedDone.contains(task)) {
      violations.add(
          atMs
              + ": "
              + task
              + " run "
              + run
              + " started on "
              + worker
              + " after the task was done");
    }
    if (causedCrashes.getOrDefault(task, 0) >= TOLERATED_CRASHES) {
      int starts = startsAfterCrashes.merge(task, 1, Integer::sum);
      if (starts > TOLERATED_STARTS) {
        violations.add(
            atMs
                + ": "
                + task
                + " run "
                + run
                + " started after the task crashed its workers repeatedly");
      }
    }
    restartAfterDone.replaceAll((ended, restart) -> ended.task().equals(task) ? run : restart);
    runningByGang.computeIfAbsent(gangKey(task, run), key -> new HashSet<>()).add(task);
  }

  synchronized void recordEnd(long atMs, String worker, TaskName task, int run, EndKind kind) {
    events.add(new Event(atMs, worker, task, run, kind.toString()));
    running.remove(task, new Holder(worker, run));
    if (kind == EndKind.DONE) {
      restartAfterDone.put(new Run(task, run), 0);
    }
    Set<TaskName> members = runningByGang.get(gangKey(task, run));
    if (members != null) {
      members.remove(task);
    }
  }

  /**
   * Records that a run's end as done was acknowledged, so that it is final: the task must not start
   * again, nor have started between that end and the acknowledgement. The latter is permitted if
   * the worker was unlisted and its lease lapsed: nobody could tell whether it would ever report
   * again.
   *
   * @param lapsedBetween whether the lease lapsed between that end and the acknowledgement
   */
  synchronized void recordAcknowledgedEnd(
      String worker, TaskName task, int run, boolean lapsedBetween) {
    acknowledgedDone.add(task);
    if (lapsedBetween && unlistedWorkers.contains(worker)) {
      return;
    }
    int restart = restartAfterDone.getOrDefault(new Run(task, run), 0);
    if (restart != 0) {
      String text = task + " run " + restart + " started after the end of run " + run;
      violations.add(text + ", which was acknowledged later");
    }
  }

  /** Records that a worker was removed from the platform's worker list while it was running. */
  public synchronized void recordUnlisted(String worker) {
    unlistedWorkers.add(worker);
  }

  /** Records a violation of a rule. */
  public synchronized void recordViolation(long atMs, String description) {
    violations.add(atMs + ": " + description);
  }

  /** Records that a start exceeded the capacity of a worker. */
  synchronized void recordOvercommit(long atMs, String worker, TaskName task, String usage) {
    violations.add(
        atMs + ": " + task + " raises the usage of " + worker + " to " + usage + " accelerators");
  }

  /** Records that a worker crashed while it ran a task, and whether the task caused the crash. */
  synchronized void recordCrash(TaskName task, boolean causedByTask) {
    workerCrashes.merge(task, 1, Integer::sum);
    if (causedByTask) {
      causedCrashes.merge(task, 1, Integer::sum);
    }
  }

  /** Returns for each task how often a worker crashed while running it, whatever the cause. */
  public synchronized Map<TaskName, Integer> workerCrashes() {
    return Map.copyOf(workerCrashes);
  }

  synchronized int runningGangMembers(TaskName task, int run) {
    return runningByGang.getOrDefault(gangKey(task, run), Set.of()).size();
  }

  /** Returns all starts and ends in order. */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** Returns the tasks that are running. */
  public synchronized Set<TaskName> running() {
    return Set.copyOf(running.keySet());
  }

  /** Returns the violations found so far. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  private static String gangKey(TaskName task, int run) {
    return task.jobId() + "." + task.occurrence() + "." + task.step() + "#" + run;
  }
}
