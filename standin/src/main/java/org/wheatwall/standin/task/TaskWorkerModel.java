package org.wheatwall.standin.task;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.standin.permit.PermitModel;

/**
 * A worker that follows the platform's protocol: leases on its own clock, fencing tokens, numbered
 * ends that are reported until they are acknowledged, gangs that make progress only while all of
 * their tasks run. Pure: the caller passes the time in.
 */
public final class TaskWorkerModel {
  private static final int PERCENT = 100;

  private final String id;
  private final long startedAtMs;
  private int accelerators;
  private final TaskLedger ledger;
  private final long clockOffsetMs;
  private final int gangWaitMs;
  private final Map<TaskName, ActiveRun> activeRuns = new LinkedHashMap<>();
  private final Map<TaskName, Integer> highestBlockedRun = new HashMap<>();
  private final Deque<WorkerInventory.EndedTask> unacknowledgedEnds = new ArrayDeque<>();
  private long highestToken;
  private long leaseUntilMs;
  private long lastEndNumber;
  private long lastEndBeforeLapse;
  private boolean checksCapacity = true;
  private boolean commandsDelayed;
  private int previousCapacity;
  private long previousCapacityUntilMs = Long.MIN_VALUE;
  private boolean stuck;
  private boolean crashDue;
  private boolean crashed;
  private Optional<PermitModel> permits = Optional.empty();

  private static final class ActiveRun {
    private final int run;
    private final TaskPlan plan;
    private final long startedAtMs;
    private long progressMs;

    private ActiveRun(int run, TaskPlan plan, long startedAtMs) {
      this.run = run;
      this.plan = plan;
      this.startedAtMs = startedAtMs;
    }
  }

  /**
   * Creates an idle worker.
   *
   * @param id identifier, which later incarnations of the worker may reuse
   * @param startedAtMs when this incarnation of the worker starts, Unix milliseconds
   * @param clockOffsetMs how far the worker's clock is ahead, milliseconds
   * @param gangWaitMs how long a task waits for the rest of its gang, milliseconds
   */
  public TaskWorkerModel(
      String id,
      long startedAtMs,
      int accelerators,
      TaskLedger ledger,
      long clockOffsetMs,
      int gangWaitMs) {
    this.id = id;
    this.startedAtMs = startedAtMs;
    this.accelerators = accelerators;
    this.ledger = ledger;
    this.clockOffsetMs = clockOffsetMs;
    this.gangWaitMs = gangWaitMs;
  }

  /** Returns the identifier of the worker. */
  public String id() {
    return id;
  }

  /** Returns when this incarnation of the worker started, Unix milliseconds. */
  public long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the number of accelerators. */
  public int accelerators() {
    return accelerators;
  }

  /** Returns the number of accelerators that tasks use. */
  public int acceleratorsInUse() {
    return activeRuns.values().stream().mapToInt(active -> active.plan.accelerators()).sum();
  }

  /** Returns the worker's clock at time {@code nowMs}, milliseconds. */
  public long clockMs(long nowMs) {
    return nowMs + clockOffsetMs;
  }

  /** Returns the highest fencing token seen. */
  public long highestToken() {
    return highestToken;
  }

  /** Sets whether the tasks make no progress. */
  public void setStuck(boolean value) {
    stuck = value;
  }

  /** Accepts starts beyond the capacity; the ledger records them as violations. */
  public void disableCapacityCheck() {
    checksCapacity = false;
  }

  /**
   * Sets whether later commands count as delayed in transit. Their sender could not know the
   * current capacity, so a start beyond it is no violation.
   */
  public void setCommandsDelayed(boolean value) {
    commandsDelayed = value;
  }

  /**
   * Changes the number of accelerators, whatever is running.
   *
   * @param newAccelerators new number of accelerators
   * @param lagMs how long a scheduler may still rely on the previous capacity, milliseconds
   */
  public void resize(int newAccelerators, long lagMs, long nowMs) {
    previousCapacity =
        Math.max(accelerators, nowMs < previousCapacityUntilMs ? previousCapacity : 0);
    previousCapacityUntilMs = nowMs + lagMs;
    accelerators = newAccelerators;
  }

  /** Accepts only start commands with a permit of {@code model} from now on. */
  public void requirePermits(PermitModel model) {
    permits = Optional.of(model);
  }

  /** Carries out a start command that holds a lease until {@code untilMs} of the worker's clock. */
  public CommandOutcome start(StartCommand command, long token, long untilMs, long nowMs) {
    if (crashed) {
      return CommandOutcome.NOT_DONE;
    }
    if (token < highestToken) {
      return CommandOutcome.FENCED;
    }
    highestToken = token;
    if (untilMs <= clockMs(nowMs)) {
      return CommandOutcome.TOO_LATE;
    }
    endRunsIfLeaseLapsed(nowMs);
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    ActiveRun current = activeRuns.get(command.task());
    if (current != null && current.run == command.run()) {
      return CommandOutcome.DONE;
    }
    if (current != null || command.run() <= highestBlockedRun.getOrDefault(command.task(), 0)) {
      return CommandOutcome.OLD_RUN;
    }
    String permit = command.permit().orElse("");
    if (permits.filter(model -> !model.isValid(command.task(), id, permit, nowMs)).isPresent()) {
      return CommandOutcome.NO_PERMIT;
    }
    TaskPlan plan = TaskPlan.parse(command.specification());
    int needed = acceleratorsInUse() + plan.accelerators();
    if (checksCapacity && needed > accelerators) {
      return CommandOutcome.NO_ROOM;
    }
    int capacity =
        nowMs < previousCapacityUntilMs ? Math.max(accelerators, previousCapacity) : accelerators;
    if (needed > capacity && !commandsDelayed) {
      ledger.recordOvercommit(nowMs, id, command.task(), needed + " of " + capacity);
    }
    activeRuns.put(command.task(), new ActiveRun(command.run(), plan, nowMs));
    crashDue |= plan.crashesWorker();
    ledger.recordStart(nowMs, id, command.task(), command.run());
    return CommandOutcome.DONE;
  }

  /** Stops a run and blocks it from starting later. */
  public CommandOutcome stop(StopCommand command, long token, long nowMs) {
    if (crashed) {
      return CommandOutcome.NOT_DONE;
    }
    if (token < highestToken) {
      return CommandOutcome.FENCED;
    }
    highestToken = token;
    highestBlockedRun.merge(command.task(), command.run(), Math::max);
    ActiveRun current = activeRuns.get(command.task());
    if (current != null && current.run <= command.run()) {
      end(command.task(), EndKind.STOPPED, nowMs);
    }
    return CommandOutcome.DONE;
  }

  /**
   * Extends the lease if {@code untilMs} is present, discards the acknowledged ends, and returns a
   * report; empty if the token is outdated.
   */
  public Optional<WorkerInventory> renew(
      long token, OptionalLong untilMs, long acknowledged, long nowMs) {
    if (token < highestToken) {
      return Optional.empty();
    }
    highestToken = token;
    endRunsIfLeaseLapsed(nowMs);
    untilMs.ifPresent(until -> leaseUntilMs = Math.max(leaseUntilMs, until));
    while (!unacknowledgedEnds.isEmpty() && unacknowledgedEnds.peek().number() <= acknowledged) {
      WorkerInventory.EndedTask end = unacknowledgedEnds.poll();
      if (end.kind() == EndKind.DONE) {
        boolean lapsedBetween = end.number() <= lastEndBeforeLapse;
        ledger.recordAcknowledgedEnd(id, end.task(), end.run(), lapsedBetween);
      }
    }
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    activeRuns.forEach(
        (task, active) ->
            running.add(new WorkerInventory.RunningTask(task, active.run, "", percent(active))));
    return Optional.of(
        new WorkerInventory(
            OptionalLong.of(startedAtMs),
            clockMs(nowMs),
            running,
            List.copyOf(unacknowledgedEnds)));
  }

  /** Returns whether an end has not been acknowledged yet. */
  public boolean hasUnacknowledgedEnds() {
    return !unacknowledgedEnds.isEmpty();
  }

  /** Advances the tasks by {@code elapsedMs}. */
  public void tick(long nowMs, long elapsedMs) {
    endRunsIfLeaseLapsed(nowMs);
    for (TaskName task : List.copyOf(activeRuns.keySet())) {
      ActiveRun active = activeRuns.get(task);
      if (active.progressMs > 0 && !stuck && finishesWithin(active, elapsedMs)) {
        end(task, EndKind.DONE, nowMs);
      } else if (ledger.runningGangMembers(task, active.run) < active.plan.gangSize()) {
        checkGangWait(task, active, nowMs);
      } else if (!stuck) {
        active.progressMs += elapsedMs;
        checkFinished(task, active, nowMs);
      }
    }
  }

  /** Returns whether a task that was started is about to crash the worker. */
  public boolean isCrashDue() {
    return crashDue;
  }

  /** Returns whether the worker has crashed. */
  public boolean hasCrashed() {
    return crashed;
  }

  /** Ends all runs without reporting them, as a crash does; later commands are not carried out. */
  public void crash(long nowMs) {
    crashed = true;
    for (TaskName task : List.copyOf(activeRuns.keySet())) {
      ledger.recordCrash(task, activeRuns.get(task).plan.crashesWorker());
      ledger.recordEnd(nowMs, id, task, activeRuns.remove(task).run, EndKind.LAPSED);
    }
  }

  // The tasks of a gang end together, so a task that is about to finish does not check whether the
  // others still run.
  private static boolean finishesWithin(ActiveRun active, long elapsedMs) {
    boolean fails = active.run <= active.plan.failingRuns();
    return !fails && active.progressMs + elapsedMs >= active.plan.workMs();
  }

  // Called before each extension of the lease, which would otherwise hide that it had lapsed.
  private void endRunsIfLeaseLapsed(long nowMs) {
    if (clockMs(nowMs) >= leaseUntilMs) {
      lastEndBeforeLapse = lastEndNumber;
      List.copyOf(activeRuns.keySet()).forEach(task -> end(task, EndKind.LAPSED, nowMs));
    }
  }

  private void checkGangWait(TaskName task, ActiveRun active, long nowMs) {
    if (active.progressMs > 0) {
      end(task, EndKind.BROKEN, nowMs);
    } else if (nowMs - active.startedAtMs >= gangWaitMs) {
      end(task, EndKind.ALONE, nowMs);
    }
  }

  private void checkFinished(TaskName task, ActiveRun active, long nowMs) {
    boolean fails = active.run <= active.plan.failingRuns();
    if (fails && active.progressMs * 2 >= active.plan.workMs()) {
      end(task, EndKind.FAILED, nowMs);
    } else if (active.progressMs >= active.plan.workMs()) {
      end(task, EndKind.DONE, nowMs);
    }
  }

  private void end(TaskName task, EndKind kind, long nowMs) {
    ActiveRun active = activeRuns.remove(task);
    highestBlockedRun.merge(task, active.run, Math::max);
    lastEndNumber++;
    unacknowledgedEnds.add(
        new WorkerInventory.EndedTask(lastEndNumber, task, active.run, kind, ""));
    ledger.recordEnd(nowMs, id, task, active.run, kind);
  }

  private static int percent(ActiveRun active) {
    return (int) Math.min(PERCENT, active.progressMs * PERCENT / Math.max(1, active.plan.workMs()));
  }
}
