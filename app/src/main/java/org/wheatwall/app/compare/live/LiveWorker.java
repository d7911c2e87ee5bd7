package org.wheatwall.app.compare.live;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/** A worker of a live day: tasks that move at the worker's speed, and ends not yet forgotten. */
final class LiveWorker {
  private static final int PERCENT = 100;
  // What is written of a run that stops: its work up to the last full half second.
  private static final int CHECKPOINT_EVERY_MS = 500;
  private static final int RESTORE_MS = 250;

  private final String id;
  private final Map<TaskName, Held> held = new LinkedHashMap<>();
  private final Deque<WorkerInventory.EndedTask> ended = new ArrayDeque<>();
  private long ends;
  private double speed = 1;

  /** A run that a worker holds. */
  static final class Held {
    final StartCommand order;
    final LiveJob job;
    double workedMs;

    private Held(StartCommand order, LiveJob job, double workedMs) {
      this.order = order;
      this.job = job;
      this.workedMs = workedMs;
    }

    boolean over() {
      return workedMs >= job.worksMs();
    }

    private boolean checkpoints() {
      return job.job().steps().get(0).checkpointing();
    }

    private String checkpoint() {
      long kept = (long) workedMs / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
      return checkpoints() && kept > 0 ? Long.toString(kept) : "";
    }
  }

  LiveWorker(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  /** Sets how fast tasks move, 1 as usual and 0 not at all. */
  void setSpeed(double next) {
    speed = next;
  }

  double speed() {
    return speed;
  }

  Iterable<Held> held() {
    return held.values();
  }

  boolean holds(TaskName task) {
    return held.containsKey(task);
  }

  /** Returns whether a task of a job fits beside what is held. */
  boolean hasRoom(LiveJob job) {
    int inUse = held.values().stream().mapToInt(LiveWorker::accelerators).sum();
    return inUse + job.accelerators() <= LiveSpec.ACCELERATORS;
  }

  static int accelerators(Held run) {
    return run.job.accelerators();
  }

  void start(StartCommand order, LiveJob job) {
    double from = order.checkpoint().isEmpty() ? 0 : Long.parseLong(order.checkpoint());
    double restored = from > 0 ? from - RESTORE_MS : 0;
    held.put(order.task(), new Held(order, job, restored));
  }

  /** Ends a run if it is still held; returns it with the work that is thrown away, or null. */
  Held end(TaskName task, int run, EndKind kind) {
    Held found = held.get(task);
    if (found == null || found.order.run() != run) {
      return null;
    }
    held.remove(task);
    ended.add(new WorkerInventory.EndedTask(++ends, task, run, kind, found.checkpoint()));
    return found;
  }

  /** Returns the work of a run that a stop throws away, milliseconds. */
  static double lostMs(Held run) {
    String checkpoint = run.checkpoint();
    return run.workedMs - (checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint));
  }

  /** Returns what the worker says, and forgets ends up to {@code acknowledged}. */
  WorkerInventory report(long acknowledged, long nowMs) {
    ended.removeIf(end -> end.number() <= acknowledged);
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    for (Held run : held.values()) {
      int percent = (int) Math.max(0, Math.min(99, PERCENT * run.workedMs / run.job.worksMs()));
      running.add(
          new WorkerInventory.RunningTask(
              run.order.task(), run.order.run(), run.checkpoint(), percent));
    }
    return new WorkerInventory(nowMs, running, List.copyOf(ended));
  }
}
