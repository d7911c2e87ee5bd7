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
 * What the workers of a test have really done, in the order in which it happened, and which gangs
 * are together. Shared by all workers; checks that no task runs twice at once.
 */
public final class TaskLedger {
  private static final String BEGAN = "began";
  // What a scheduler may have to see before it can know, and what it may still start then.
  private static final int CRASHES_BORNE = 3;
  private static final int STARTS_BORNE = 2;

  private final List<Event> events = new ArrayList<>();
  private final Map<TaskName, Holder> running = new HashMap<>();
  private final Map<String, Set<TaskName>> gangs = new HashMap<>();
  private final Set<TaskName> done = new HashSet<>();
  // For each run that ended as done: the run of the same task that began after that, 0 if none.
  private final Map<Run, Integer> startAfterDone = new HashMap<>();
  private final Map<TaskName, Integer> workerCrashes = new HashMap<>();
  private final Map<TaskName, Integer> causedCrashes = new HashMap<>();
  private final Map<TaskName, Integer> startsBeyond = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /** A run that began or ended. */
  public record Event(long atMs, String worker, TaskName task, int run, String kind) {
    /** Returns whether the run began. */
    public boolean isStart() {
      return kind.equals(BEGAN);
    }
  }

  private record Holder(String worker, int run) {}

  private record Run(TaskName task, int run) {}

  synchronized void recordStart(long atMs, String worker, TaskName task, int run) {
    events.add(new Event(atMs, worker, task, run, BEGAN));
    Holder before = running.put(task, new Holder(worker, run));
    if (before != null) {
      violations.add(atMs + ": " + task + " run " + run + " at " + worker + " beside " + before);
    }
    if (done.contains(task)) {
      violations.add(atMs + ": " + task + " run " + run + " at " + worker + " after it was done");
    }
    if (causedCrashes.getOrDefault(task, 0) >= CRASHES_BORNE) {
      int beyond = startsBeyond.merge(task, 1, Integer::sum);
      if (beyond > STARTS_BORNE) {
        violations.add(atMs + ": " + task + " run " + run + " after it had crashed its workers");
      }
    }
    startAfterDone.replaceAll((ended, again) -> ended.task().equals(task) ? run : again);
    gangs.computeIfAbsent(gangOf(task, run), key -> new HashSet<>()).add(task);
  }

  synchronized void recordEnd(long atMs, String worker, TaskName task, int run, EndKind kind) {
    events.add(new Event(atMs, worker, task, run, kind.toString()));
    running.remove(task, new Holder(worker, run));
    if (kind == EndKind.DONE) {
      startAfterDone.put(new Run(task, run), 0);
    }
    Set<TaskName> members = gangs.get(gangOf(task, run));
    if (members != null) {
      members.remove(task);
    }
  }

  /**
   * Notes that an end was reported as done and acknowledged, so that it must be final: nothing may
   * have started since that end either.
   */
  synchronized void recordAcknowledgedEnd(TaskName task, int run) {
    done.add(task);
    int again = startAfterDone.getOrDefault(new Run(task, run), 0);
    if (again != 0) {
      String text = task + " run " + again + " began after the end of run " + run;
      violations.add(text + ", which was acknowledged later");
    }
  }

  /** Notes that something happened that never should. */
  public synchronized void recordViolation(long atMs, String what) {
    violations.add(atMs + ": " + what);
  }

  /** Notes that a start took a worker over its room. */
  synchronized void recordOvercommit(long atMs, String worker, TaskName task, String amounts) {
    violations.add(atMs + ": " + task + " takes " + worker + " to " + amounts + " accelerators");
  }

  /** Notes that a worker crashed while it held a task, by which {@code own} says. */
  synchronized void recordCrash(TaskName task, boolean own) {
    workerCrashes.merge(task, 1, Integer::sum);
    if (own) {
      causedCrashes.merge(task, 1, Integer::sum);
    }
  }

  /** Returns under which tasks a worker has crashed, and how often, whatever the cause. */
  public synchronized Map<TaskName, Integer> workerCrashes() {
    return Map.copyOf(workerCrashes);
  }

  synchronized int runningGangMembers(TaskName task, int run) {
    return gangs.getOrDefault(gangOf(task, run), Set.of()).size();
  }

  /** Returns what happened. */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** Returns the tasks that run now. */
  public synchronized Set<TaskName> running() {
    return Set.copyOf(running.keySet());
  }

  /** Returns what should never have happened. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  private static String gangOf(TaskName task, int run) {
    return task.jobId() + "." + task.occurrence() + "." + task.step() + "#" + run;
  }
}
