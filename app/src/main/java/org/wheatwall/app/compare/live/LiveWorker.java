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

/** A simulated worker: its tasks advance at its speed, its ends are kept until acknowledged. */
final class LiveWorker {
  private static final int PERCENT = 100;
  // A run that writes checkpoints keeps its work up to the last full 0.5 s when it is stopped.
  private static final int CHECKPOINT_INTERVAL_MS = 500;
  private static final int RESTORE_MS = 250;

  private final String id;
  private final Map<TaskName, ActiveRun> activeRuns = new LinkedHashMap<>();
  private final Deque<WorkerInventory.EndedTask> ended = new ArrayDeque<>();
  private long ends;
  private double speed = 1;

  /** A run that is active on a worker. */
  static final class ActiveRun {
    final StartCommand command;
    final LiveJob job;
    double workedMs;

    private ActiveRun(StartCommand command, LiveJob job, double workedMs) {
      this.command = command;
      this.job = job;
      this.workedMs = workedMs;
    }

    boolean isFinished() {
      return workedMs >= job.runTimeMs();
    }

    private boolean isCheckpointing() {
      return job.job().steps().get(0).checkpointing();
    }

    private String checkpoint() {
      long savedMs = (long) workedMs / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
      return isCheckpointing() && savedMs > 0 ? Long.toString(savedMs) : "";
    }
  }

  LiveWorker(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  /** Sets the relative speed of tasks: 1 is full speed, 0 is stalled. */
  void setSpeed(double newSpeed) {
    speed = newSpeed;
  }

  double speed() {
    return speed;
  }

  Iterable<ActiveRun> activeRuns() {
    return activeRuns.values();
  }

  boolean isRunning(TaskName task) {
    return activeRuns.containsKey(task);
  }

  /** Returns whether a task of a job fits beside the active runs. */
  boolean hasCapacity(LiveJob job) {
    int inUse = activeRuns.values().stream().mapToInt(LiveWorker::accelerators).sum();
    return inUse + job.accelerators() <= LiveSpec.ACCELERATORS;
  }

  static int accelerators(ActiveRun run) {
    return run.job.accelerators();
  }

  void start(StartCommand command, LiveJob job) {
    double checkpointMs = command.checkpoint().isEmpty() ? 0 : Long.parseLong(command.checkpoint());
    double startMs = checkpointMs > 0 ? checkpointMs - RESTORE_MS : 0;
    activeRuns.put(command.task(), new ActiveRun(command, job, startMs));
  }

  /** Ends a run and returns it, or null if it is not active. */
  ActiveRun end(TaskName task, int run, EndKind kind) {
    ActiveRun found = activeRuns.get(task);
    if (found == null || found.command.run() != run) {
      return null;
    }
    activeRuns.remove(task);
    ended.add(new WorkerInventory.EndedTask(++ends, task, run, kind, found.checkpoint()));
    return found;
  }

  /** Returns the work that is lost if the run is stopped, milliseconds. */
  static double lostMs(ActiveRun run) {
    String checkpoint = run.checkpoint();
    return run.workedMs - (checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint));
  }

  /** Returns the worker's report without the ends up to {@code acknowledged}. */
  WorkerInventory report(long acknowledged, long nowMs) {
    ended.removeIf(end -> end.number() <= acknowledged);
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    for (ActiveRun run : activeRuns.values()) {
      int percent = (int) Math.max(0, Math.min(99, PERCENT * run.workedMs / run.job.runTimeMs()));
      running.add(
          new WorkerInventory.RunningTask(
              run.command.task(), run.command.run(), run.checkpoint(), percent));
    }
    return new WorkerInventory(nowMs, running, List.copyOf(ended));
  }
}
