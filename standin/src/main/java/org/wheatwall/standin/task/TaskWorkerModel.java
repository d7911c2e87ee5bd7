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
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.standin.permit.PermitModel;

/**
 * A worker by the platform's rules: leases on its own clock, fencing tokens, numbered ends that are
 * reported until they are acknowledged, gangs that work only together. Pure: time is passed in.
 */
public final class TaskWorkerModel {
  private static final int PERCENT = 100;

  private final String id;
  private final long startedAtMs;
  private int accelerators;
  private final TaskLedger ledger;
  private final long clockOffsetMs;
  private final int gangWaitMs;
  private final Map<TaskName, Held> held = new LinkedHashMap<>();
  private final Map<TaskName, Integer> barred = new HashMap<>();
  private final Deque<WorkerInventory.EndedTask> ends = new ArrayDeque<>();
  private long highestToken;
  private long leaseUntilMs;
  private long lastEnd;
  private boolean guards = true;
  private boolean lateOrder;
  private int roomBefore;
  private long roomBeforeUntilMs = Long.MIN_VALUE;
  private boolean stuck;
  private boolean isCrashDue;
  private boolean hasCrashed;
  private Optional<PermitModel> permits = Optional.empty();

  private static final class Held {
    private final int run;
    private final TaskPlan plan;
    private final long beganMs;
    private long workedMs;

    private Held(int run, TaskPlan plan, long beganMs) {
      this.run = run;
      this.plan = plan;
      this.beganMs = beganMs;
    }
  }

  /**
   * Creates an idle worker.
   *
   * @param id identifier, which a later life of it may have as well
   * @param bornMs when this life of it begins, Unix milliseconds
   * @param clockOffsetMs how far its clock is ahead
   * @param gangWaitMs how long a task waits for the rest of its gang, milliseconds
   */
  public TaskWorkerModel(
      String id,
      long bornMs,
      int accelerators,
      TaskLedger ledger,
      long clockOffsetMs,
      int gangWaitMs) {
    this.id = id;
    this.startedAtMs = bornMs;
    this.accelerators = accelerators;
    this.ledger = ledger;
    this.clockOffsetMs = clockOffsetMs;
    this.gangWaitMs = gangWaitMs;
  }

  /** Returns the identifier of the worker. */
  public String id() {
    return id;
  }

  /** Returns when this life of the worker began, Unix milliseconds. */
  public long startedAtMs() {
    return startedAtMs;
  }

  /** Returns how many accelerators it has. */
  public int accelerators() {
    return accelerators;
  }

  /** Returns how many accelerators its tasks take. */
  public int acceleratorsInUse() {
    return held.values().stream().mapToInt(entry -> entry.plan.accelerators()).sum();
  }

  /** Returns the worker's clock. */
  public long clockMs(long nowMs) {
    return nowMs + clockOffsetMs;
  }

  /** Returns the highest fencing token seen. */
  public long highestToken() {
    return highestToken;
  }

  /** Lets its tasks stand still, or go on. */
  public void setStuck(boolean next) {
    stuck = next;
  }

  /** Takes whatever it is told to start from now on; the ledger notes what it has no room for. */
  public void disableCapacityCheck() {
    guards = false;
  }

  /**
   * Says whether the orders that come next were held up on their way, so that room was not known.
   */
  public void setCommandsDelayed(boolean next) {
    lateOrder = next;
  }

  /**
   * Has another room from now on, whatever runs.
   *
   * @param lagMs how long a scheduler may count on the room before, milliseconds
   */
  public void resize(int next, long lagMs, long nowMs) {
    roomBefore = Math.max(accelerators, nowMs < roomBeforeUntilMs ? roomBefore : 0);
    roomBeforeUntilMs = nowMs + lagMs;
    accelerators = next;
  }

  /** Takes only starts that carry a text of {@code model} from now on. */
  public void requirePermits(PermitModel model) {
    permits = Optional.of(model);
  }

  /** Starts a run. */
  public OrderAnswer start(StartOrder order, long token, long untilMs, long nowMs) {
    if (hasCrashed) {
      return OrderAnswer.NOT_DONE;
    }
    if (token < highestToken) {
      return OrderAnswer.FENCED;
    }
    highestToken = token;
    if (untilMs <= clockMs(nowMs)) {
      return OrderAnswer.TOO_LATE;
    }
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    Held known = held.get(order.task());
    if (known != null && known.run == order.run()) {
      return OrderAnswer.DONE;
    }
    if (known != null || order.run() <= barred.getOrDefault(order.task(), 0)) {
      return OrderAnswer.OLD_RUN;
    }
    String text = order.permit().orElse("");
    if (permits.filter(model -> !model.isValid(order.task(), id, text, nowMs)).isPresent()) {
      return OrderAnswer.NO_PERMIT;
    }
    TaskPlan plan = TaskPlan.parse(order.specification());
    int needed = acceleratorsInUse() + plan.accelerators();
    if (guards && needed > accelerators) {
      return OrderAnswer.NO_ROOM;
    }
    int room = nowMs < roomBeforeUntilMs ? Math.max(accelerators, roomBefore) : accelerators;
    if (needed > room && !lateOrder) {
      ledger.recordOvercommit(nowMs, id, order.task(), needed + " of " + room);
    }
    held.put(order.task(), new Held(order.run(), plan, nowMs));
    isCrashDue |= plan.crashesWorker();
    ledger.recordStart(nowMs, id, order.task(), order.run());
    return OrderAnswer.DONE;
  }

  /** Stops a run, and bars it from starting. */
  public OrderAnswer stop(StopOrder order, long token, long nowMs) {
    if (hasCrashed) {
      return OrderAnswer.NOT_DONE;
    }
    if (token < highestToken) {
      return OrderAnswer.FENCED;
    }
    highestToken = token;
    barred.merge(order.task(), order.run(), Math::max);
    Held known = held.get(order.task());
    if (known != null && known.run <= order.run()) {
      end(order.task(), EndKind.STOPPED, nowMs);
    }
    return OrderAnswer.DONE;
  }

  /** Extends leases if asked to, forgets what is acknowledged, and reports; empty if fenced. */
  public Optional<WorkerInventory> renew(
      long token, OptionalLong untilMs, long acknowledged, long nowMs) {
    if (token < highestToken) {
      return Optional.empty();
    }
    highestToken = token;
    untilMs.ifPresent(until -> leaseUntilMs = Math.max(leaseUntilMs, until));
    while (!ends.isEmpty() && ends.peek().number() <= acknowledged) {
      WorkerInventory.EndedTask end = ends.poll();
      if (end.kind() == EndKind.DONE) {
        ledger.recordAcknowledgedEnd(end.task(), end.run());
      }
    }
    List<WorkerInventory.RunningTask> running = new ArrayList<>();
    held.forEach(
        (task, entry) ->
            running.add(new WorkerInventory.RunningTask(task, entry.run, "", percent(entry))));
    return Optional.of(
        new WorkerInventory(
            OptionalLong.of(startedAtMs), clockMs(nowMs), running, List.copyOf(ends)));
  }

  /** Returns whether an end waits to be reported. */
  public boolean hasUnacknowledgedEnds() {
    return !ends.isEmpty();
  }

  /** Lets {@code elapsedMs} pass. */
  public void tick(long nowMs, long elapsedMs) {
    for (TaskName task : List.copyOf(held.keySet())) {
      Held entry = held.get(task);
      if (clockMs(nowMs) >= leaseUntilMs) {
        end(task, EndKind.LAPSED, nowMs);
      } else if (entry.workedMs > 0 && !stuck && finishesWithin(entry, elapsedMs)) {
        end(task, EndKind.DONE, nowMs);
      } else if (ledger.runningGangMembers(task, entry.run) < entry.plan.gangSize()) {
        waitForGang(task, entry, nowMs);
      } else if (!stuck) {
        entry.workedMs += elapsedMs;
        work(task, entry, nowMs);
      }
    }
  }

  /** Returns whether something that it was told to start is about to crash it. */
  public boolean isCrashDue() {
    return isCrashDue;
  }

  /** Returns whether it has crashed. */
  public boolean hasCrashed() {
    return hasCrashed;
  }

  /** Ends everything without a word, as a crash does; it carries out nothing more. */
  public void crash(long nowMs) {
    hasCrashed = true;
    for (TaskName task : List.copyOf(held.keySet())) {
      ledger.recordCrash(task, held.get(task).plan.crashesWorker());
      ledger.recordEnd(nowMs, id, task, held.remove(task).run, EndKind.LAPSED);
    }
  }

  // The tasks of a gang end together, so one that is about to end does not look at the others.
  private static boolean finishesWithin(Held entry, long elapsedMs) {
    boolean fails = entry.run <= entry.plan.failingRuns();
    return !fails && entry.workedMs + elapsedMs >= entry.plan.workMs();
  }

  private void waitForGang(TaskName task, Held entry, long nowMs) {
    if (entry.workedMs > 0) {
      end(task, EndKind.BROKEN, nowMs);
    } else if (nowMs - entry.beganMs >= gangWaitMs) {
      end(task, EndKind.ALONE, nowMs);
    }
  }

  private void work(TaskName task, Held entry, long nowMs) {
    boolean fails = entry.run <= entry.plan.failingRuns();
    if (fails && entry.workedMs * 2 >= entry.plan.workMs()) {
      end(task, EndKind.FAILED, nowMs);
    } else if (entry.workedMs >= entry.plan.workMs()) {
      end(task, EndKind.DONE, nowMs);
    }
  }

  private void end(TaskName task, EndKind kind, long nowMs) {
    Held entry = held.remove(task);
    barred.merge(task, entry.run, Math::max);
    lastEnd++;
    ends.add(new WorkerInventory.EndedTask(lastEnd, task, entry.run, kind, ""));
    ledger.recordEnd(nowMs, id, task, entry.run, kind);
  }

  private static int percent(Held entry) {
    return (int) Math.min(PERCENT, entry.workedMs * PERCENT / Math.max(1, entry.plan.workMs()));
  }
}
