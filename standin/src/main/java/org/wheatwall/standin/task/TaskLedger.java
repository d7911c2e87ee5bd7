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
  private final List<Event> events = new ArrayList<>();
  private final Map<TaskName, Holder> running = new HashMap<>();
  private final Map<String, Set<TaskName>> gangs = new HashMap<>();
  private final Set<TaskName> done = new HashSet<>();
  private final List<String> violations = new ArrayList<>();

  /** A run that began or ended. */
  public record Event(long atMs, String worker, TaskName task, int run, String what) {}

  private record Holder(String worker, int run) {}

  synchronized void began(long atMs, String worker, TaskName task, int run) {
    events.add(new Event(atMs, worker, task, run, "began"));
    Holder before = running.put(task, new Holder(worker, run));
    if (before != null) {
      violations.add(atMs + ": " + task + " run " + run + " at " + worker + " beside " + before);
    }
    if (done.contains(task)) {
      violations.add(atMs + ": " + task + " run " + run + " at " + worker + " after it was done");
    }
    gangs.computeIfAbsent(gangOf(task, run), key -> new HashSet<>()).add(task);
  }

  synchronized void ended(long atMs, String worker, TaskName task, int run, EndKind kind) {
    events.add(new Event(atMs, worker, task, run, kind.toString()));
    running.remove(task, new Holder(worker, run));
    Set<TaskName> members = gangs.get(gangOf(task, run));
    if (members != null) {
      members.remove(task);
    }
  }

  /** Notes that an end was reported as done and acknowledged, so that it must be final. */
  synchronized void noted(TaskName task) {
    done.add(task);
  }

  synchronized int together(TaskName task, int run) {
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
