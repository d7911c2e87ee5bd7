package org.wheatwall.standin.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerOperation.Reservation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * A worker's side of the gang protocol, without sockets or a clock of its own: leases, epochs,
 * reservations, and a ledger of what ran when. Used by the worker stand-in and by tests.
 */
public final class WorkerModel {
  private static final long FAIL_AFTER_MS = 50;
  private static final long KEEP_RESULT_MS = 600_000;
  private static final long VERSIONS_PER_MS = 1000;
  private static final int USAGE_STEP_PERCENT = 10;

  private final String host;
  private final ResourceAmount capacity;
  private final Map<String, Part> parts = new LinkedHashMap<>();
  private final List<TaskEvent> ledger = new ArrayList<>();
  private WorkerBehavior behavior = WorkerBehavior.HEALTHY;
  private long highestEpoch;
  private List<TaskReport> inventory = List.of();
  private long version;
  private boolean knownIsCurrent;

  private static final class Part {
    private final Reservation reservation;
    private TaskPhase phase = TaskPhase.RESERVED;
    private long leaseUntilMs;
    private long endsAtMs;
    private long startedAtMs;
    private boolean throttled;

    private Part(Reservation reservation) {
      this.reservation = reservation;
    }
  }

  /** Creates an idle worker. */
  public WorkerModel(String host, ResourceAmount capacity) {
    this.host = host;
    this.capacity = capacity;
  }

  /** Returns the name of the host. */
  public String host() {
    return host;
  }

  /** Sets how the worker behaves from now on. */
  public void setBehavior(WorkerBehavior next) {
    behavior = next;
  }

  /** Returns how the worker behaves. */
  public WorkerBehavior behavior() {
    return behavior;
  }

  /** Returns the ledger so far. */
  public List<TaskEvent> ledger() {
    return List.copyOf(ledger);
  }

  /** Returns the number of parts that run now. */
  public int runningCount() {
    return (int) parts.values().stream().filter(WorkerModel::runs).count();
  }

  /** Carries out an exchange at time {@code nowMs} of this worker's clock. */
  public WorkerReport exchange(WorkerExchange exchange, long nowMs, long wallMs) {
    tick(nowMs, wallMs);
    refreshInventory(nowMs, wallMs);
    knownIsCurrent = version == exchange.knownVersion();
    Optional<String> refusal = refusal(exchange, nowMs);
    if (refusal.isEmpty()) {
      if (!exchange.operations().isEmpty()) {
        highestEpoch = Math.max(highestEpoch, exchange.epoch());
      }
      for (WorkerOperation operation : exchange.operations()) {
        refusal = merge(refusal, carryOut(operation, nowMs, wallMs));
      }
    }
    refreshInventory(nowMs, wallMs);
    boolean unchanged = version == exchange.knownVersion();
    return new WorkerReport(
        host, nowMs, highestEpoch, refusal, unchanged ? List.of() : inventory, version, unchanged);
  }

  /** Ends what is due by {@code nowMs}: leases that lapsed and tasks that are done. */
  public void tick(long nowMs, long wallMs) {
    List<String> lapsed = new ArrayList<>();
    for (Map.Entry<String, Part> entry : parts.entrySet()) {
      Part part = entry.getValue();
      if (runs(part) && guardKills(part, nowMs)) {
        part.phase = TaskPhase.FAILED;
        part.endsAtMs = nowMs;
        note(entry.getKey(), part, "stop", "guard", wallMs);
      } else if (runs(part) && part.endsAtMs <= nowMs) {
        part.phase = behavior.failsEverything() ? TaskPhase.FAILED : TaskPhase.SUCCEEDED;
        note(entry.getKey(), part, "stop", part.phase.toString(), wallMs);
      } else if (part.phase.ended()) {
        // A result stays until the decider has it in the log, or until it is of no more use.
        if (part.endsAtMs + KEEP_RESULT_MS <= nowMs) {
          lapsed.add(entry.getKey());
        }
      } else if (part.leaseUntilMs <= nowMs) {
        lapsed.add(entry.getKey());
      }
    }
    lapsed.forEach(attemptId -> end(attemptId, "lease lapsed", wallMs));
  }

  /** Ends every part at once, as a crash does; returns the stops that were recorded. */
  public List<TaskEvent> crash(long wallMs) {
    int before = ledger.size();
    List.copyOf(parts.keySet()).forEach(attemptId -> end(attemptId, "crashed", wallMs));
    return List.copyOf(ledger.subList(before, ledger.size()));
  }

  private boolean guardKills(Part part, long nowMs) {
    return behavior.guardAfterMs() > 0
        && usagePercent(part) > 100
        && nowMs - part.startedAtMs >= behavior.guardAfterMs();
  }

  // Use shows late, as the platform's own reports do, and in steps: every change of a figure is a
  // change of the inventory.
  private int shownUsage(Part part, long nowMs) {
    boolean shown = runs(part) && nowMs - part.startedAtMs >= behavior.usageLagMs();
    int steps = (usagePercent(part) + USAGE_STEP_PERCENT - 1) / USAGE_STEP_PERCENT;
    return shown ? steps * USAGE_STEP_PERCENT : 0;
  }

  private int usagePercent(Part part) {
    return part.throttled ? Math.min(100, behavior.usagePercent()) : behavior.usagePercent();
  }

  private Optional<String> refusal(WorkerExchange exchange, long nowMs) {
    if (exchange.operations().isEmpty()) {
      return Optional.empty();
    }
    if (exchange.epoch() < highestEpoch) {
      return Optional.of("epoch " + exchange.epoch() + " is older than " + highestEpoch);
    }
    if (nowMs >= exchange.validUntilMs()) {
      return Optional.of("the command is too old");
    }
    return Optional.empty();
  }

  private Optional<String> carryOut(WorkerOperation operation, long nowMs, long wallMs) {
    Part part = parts.get(operation.attemptId());
    switch (operation.kind()) {
      case RESERVE -> {
        return part == null ? reserve(operation, nowMs) : Optional.empty();
      }
      case STOP -> {
        if (part != null && !part.phase.ended()) {
          end(operation.attemptId(), "stopped", wallMs);
        }
      }
      case FORGET -> {
        if (part != null && part.phase.ended()) {
          parts.remove(operation.attemptId());
        }
      }
      case START -> start(operation, part, nowMs, wallMs);
      case RENEW -> renew(operation, part, nowMs);
      case RENEW_ALL -> {
        if (knownIsCurrent) {
          parts.values().forEach(each -> renew(operation, each, nowMs));
        }
      }
      case THROTTLE -> {
        renew(operation, part, nowMs);
        if (part != null) {
          part.throttled = true;
        }
      }
      case CHECKPOINT -> checkpoint(operation, part, nowMs);
    }
    return Optional.empty();
  }

  private Optional<String> reserve(WorkerOperation operation, long nowMs) {
    Reservation reservation = operation.reservation();
    ResourceAmount need = reservation.taskAmount().times(reservation.tasks());
    if (!free().covers(need)) {
      return Optional.of("no room for " + operation.attemptId());
    }
    Part part = new Part(reservation);
    part.leaseUntilMs = nowMs + operation.leaseMs();
    parts.put(operation.attemptId(), part);
    return Optional.empty();
  }

  private void start(WorkerOperation operation, Part part, long nowMs, long wallMs) {
    if (part == null || part.phase != TaskPhase.RESERVED) {
      return;
    }
    part.phase = TaskPhase.RUNNING;
    part.startedAtMs = nowMs;
    part.leaseUntilMs = nowMs + operation.leaseMs();
    long declaredMs = part.reservation.declaredSeconds() * 1000L;
    part.endsAtMs =
        nowMs
            + (behavior.failsEverything()
                ? FAIL_AFTER_MS
                : declaredMs * behavior.runTimePercent() / 100);
    note(operation.attemptId(), part, "start", "", wallMs);
  }

  private static void renew(WorkerOperation operation, Part part, long nowMs) {
    if (part != null) {
      part.leaseUntilMs = Math.max(part.leaseUntilMs, nowMs + operation.leaseMs());
    }
  }

  private void checkpoint(WorkerOperation operation, Part part, long nowMs) {
    if (part == null || !runs(part)) {
      return;
    }
    renew(operation, part, nowMs);
    if (!behavior.ignoresCheckpoint()) {
      part.phase = TaskPhase.CHECKPOINTED;
    }
  }

  private void end(String attemptId, String reason, long wallMs) {
    Part part = parts.remove(attemptId);
    if (part != null && runs(part)) {
      note(attemptId, part, "stop", reason, wallMs);
    }
  }

  private ResourceAmount free() {
    ResourceAmount free = capacity;
    for (Part part : parts.values()) {
      if (!part.phase.ended()) {
        free = free.minus(part.reservation.taskAmount().times(part.reservation.tasks()));
      }
    }
    return free;
  }

  // Versions go on from the time of the first report, so that no two lives of a worker share one.
  private void refreshInventory(long nowMs, long wallMs) {
    List<TaskReport> current = tasks(nowMs);
    if (version == 0) {
      version = 1 + wallMs * VERSIONS_PER_MS;
    } else if (!current.equals(inventory)) {
      version++;
    }
    inventory = current;
  }

  private List<TaskReport> tasks(long nowMs) {
    List<TaskReport> tasks = new ArrayList<>();
    parts.forEach(
        (attemptId, part) ->
            tasks.add(
                new TaskReport(
                    attemptId,
                    part.reservation.jobName(),
                    part.reservation.hosts(),
                    part.phase,
                    shownUsage(part, nowMs),
                    part.throttled)));
    return tasks;
  }

  private void note(String attemptId, Part part, String event, String reason, long wallMs) {
    Reservation reservation = part.reservation;
    int gangHosts = (int) reservation.hosts().stream().distinct().count();
    ledger.add(
        new TaskEvent(host, attemptId, reservation.jobName(), gangHosts, event, wallMs, reason));
  }

  private static boolean runs(Part part) {
    return part.phase == TaskPhase.RUNNING || part.phase == TaskPhase.CHECKPOINTED;
  }

  private static Optional<String> merge(Optional<String> first, Optional<String> second) {
    return first.isPresent() ? first : second;
  }
}
