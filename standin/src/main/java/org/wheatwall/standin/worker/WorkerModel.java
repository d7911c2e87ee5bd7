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
 * The worker's side of the gang protocol, without sockets or a clock of its own: leases, epochs,
 * reservations, and a ledger of task starts and stops. Used by the worker stand-in and by tests.
 */
public final class WorkerModel {
  private static final long FAIL_AFTER_MS = 50;
  private static final long RESULT_RETENTION_MS = 600_000;
  private static final long VERSIONS_PER_MS = 1000;
  private static final int USAGE_STEP_PERCENT = 10;

  private final String host;
  private final ResourceAmount capacity;
  private final Map<String, LocalAttempt> attempts = new LinkedHashMap<>();
  private final List<TaskEvent> ledger = new ArrayList<>();
  private WorkerBehavior behavior = WorkerBehavior.HEALTHY;
  private long highestEpoch;
  private List<TaskReport> inventory = List.of();
  private long version;
  private boolean callerIsCurrent;

  private static final class LocalAttempt {
    private final Reservation reservation;
    private TaskPhase phase = TaskPhase.RESERVED;
    private long leaseUntilMs;
    private long endsAtMs;
    private long startedAtMs;
    private boolean throttled;

    private LocalAttempt(Reservation reservation) {
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

  /** Sets the behavior of the worker. */
  public void setBehavior(WorkerBehavior newBehavior) {
    behavior = newBehavior;
  }

  /** Returns the behavior of the worker. */
  public WorkerBehavior behavior() {
    return behavior;
  }

  /** Returns the ledger so far. */
  public List<TaskEvent> ledger() {
    return List.copyOf(ledger);
  }

  /** Returns the number of attempts that are running. */
  public int runningCount() {
    return (int) attempts.values().stream().filter(WorkerModel::isRunning).count();
  }

  /**
   * Carries out an exchange.
   *
   * @param nowMs this worker's monotonic clock, milliseconds
   * @param wallMs wall clock, Unix milliseconds
   */
  public WorkerReport exchange(WorkerExchange exchange, long nowMs, long wallMs) {
    tick(nowMs, wallMs);
    refreshInventory(nowMs, wallMs);
    callerIsCurrent = version == exchange.knownVersion();
    Optional<String> refusal = refusal(exchange, nowMs);
    if (refusal.isEmpty()) {
      if (!exchange.operations().isEmpty()) {
        highestEpoch = Math.max(highestEpoch, exchange.epoch());
      }
      for (WorkerOperation operation : exchange.operations()) {
        refusal = firstPresent(refusal, carryOut(operation, nowMs, wallMs));
      }
    }
    refreshInventory(nowMs, wallMs);
    boolean unchanged = version == exchange.knownVersion();
    return new WorkerReport(
        host, nowMs, highestEpoch, refusal, unchanged ? List.of() : inventory, version, unchanged);
  }

  /** Ends the attempts whose lease has expired or whose tasks are done by {@code nowMs}. */
  public void tick(long nowMs, long wallMs) {
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, LocalAttempt> entry : attempts.entrySet()) {
      LocalAttempt attempt = entry.getValue();
      if (isRunning(attempt) && isKilledByGuard(attempt, nowMs)) {
        attempt.phase = TaskPhase.FAILED;
        attempt.endsAtMs = nowMs;
        recordEvent(entry.getKey(), attempt, "stop", "guard", wallMs);
      } else if (isRunning(attempt) && attempt.endsAtMs <= nowMs) {
        attempt.phase = behavior.failsEverything() ? TaskPhase.FAILED : TaskPhase.SUCCEEDED;
        recordEvent(entry.getKey(), attempt, "stop", attempt.phase.toString(), wallMs);
      } else if (attempt.phase.ended()) {
        // A result is kept until the decider has logged it, or until the retention time is over.
        if (attempt.endsAtMs + RESULT_RETENTION_MS <= nowMs) {
          expired.add(entry.getKey());
        }
      } else if (attempt.leaseUntilMs <= nowMs) {
        expired.add(entry.getKey());
      }
    }
    expired.forEach(attemptId -> end(attemptId, "lease lapsed", wallMs));
  }

  /** Ends every attempt at once, as a crash does, and returns the recorded stops. */
  public List<TaskEvent> crash(long wallMs) {
    int before = ledger.size();
    List.copyOf(attempts.keySet()).forEach(attemptId -> end(attemptId, "crashed", wallMs));
    return List.copyOf(ledger.subList(before, ledger.size()));
  }

  private boolean isKilledByGuard(LocalAttempt attempt, long nowMs) {
    return behavior.guardAfterMs() > 0
        && usagePercent(attempt) > 100
        && nowMs - attempt.startedAtMs >= behavior.guardAfterMs();
  }

  // Usage is reported with a delay, as in the platform's own reports, and rounded up to steps,
  // because every change of the value is a change of the inventory.
  private int reportedUsage(LocalAttempt attempt, long nowMs) {
    boolean reported = isRunning(attempt) && nowMs - attempt.startedAtMs >= behavior.usageLagMs();
    int steps = (usagePercent(attempt) + USAGE_STEP_PERCENT - 1) / USAGE_STEP_PERCENT;
    return reported ? steps * USAGE_STEP_PERCENT : 0;
  }

  private int usagePercent(LocalAttempt attempt) {
    return attempt.throttled ? Math.min(100, behavior.usagePercent()) : behavior.usagePercent();
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
    LocalAttempt attempt = attempts.get(operation.attemptId());
    switch (operation.kind()) {
      case RESERVE -> {
        return attempt == null ? reserve(operation, nowMs) : Optional.empty();
      }
      case STOP -> {
        if (attempt != null && !attempt.phase.ended()) {
          end(operation.attemptId(), "stopped", wallMs);
        }
      }
      case FORGET -> {
        if (attempt != null && attempt.phase.ended()) {
          attempts.remove(operation.attemptId());
        }
      }
      case START -> start(operation, attempt, nowMs, wallMs);
      case RENEW -> renew(operation, attempt, nowMs);
      case RENEW_ALL -> {
        if (callerIsCurrent) {
          attempts.values().forEach(each -> renew(operation, each, nowMs));
        }
      }
      case THROTTLE -> {
        renew(operation, attempt, nowMs);
        if (attempt != null) {
          attempt.throttled = true;
        }
      }
      case CHECKPOINT -> checkpoint(operation, attempt, nowMs);
    }
    return Optional.empty();
  }

  private Optional<String> reserve(WorkerOperation operation, long nowMs) {
    Reservation reservation = operation.reservation();
    ResourceAmount need = reservation.taskAmount().times(reservation.tasks());
    if (!free().covers(need)) {
      return Optional.of("no room for " + operation.attemptId());
    }
    LocalAttempt attempt = new LocalAttempt(reservation);
    attempt.leaseUntilMs = nowMs + operation.leaseMs();
    attempts.put(operation.attemptId(), attempt);
    return Optional.empty();
  }

  private void start(WorkerOperation operation, LocalAttempt attempt, long nowMs, long wallMs) {
    if (attempt == null || attempt.phase != TaskPhase.RESERVED) {
      return;
    }
    attempt.phase = TaskPhase.RUNNING;
    attempt.startedAtMs = nowMs;
    attempt.leaseUntilMs = nowMs + operation.leaseMs();
    long declaredMs = attempt.reservation.declaredSeconds() * 1000L;
    attempt.endsAtMs =
        nowMs
            + (behavior.failsEverything()
                ? FAIL_AFTER_MS
                : declaredMs * behavior.runTimePercent() / 100);
    recordEvent(operation.attemptId(), attempt, "start", "", wallMs);
  }

  private static void renew(WorkerOperation operation, LocalAttempt attempt, long nowMs) {
    if (attempt != null) {
      attempt.leaseUntilMs = Math.max(attempt.leaseUntilMs, nowMs + operation.leaseMs());
    }
  }

  private void checkpoint(WorkerOperation operation, LocalAttempt attempt, long nowMs) {
    if (attempt == null || !isRunning(attempt)) {
      return;
    }
    renew(operation, attempt, nowMs);
    if (!behavior.ignoresCheckpoint()) {
      attempt.phase = TaskPhase.CHECKPOINTED;
    }
  }

  private void end(String attemptId, String reason, long wallMs) {
    LocalAttempt attempt = attempts.remove(attemptId);
    if (attempt != null && isRunning(attempt)) {
      recordEvent(attemptId, attempt, "stop", reason, wallMs);
    }
  }

  private ResourceAmount free() {
    ResourceAmount free = capacity;
    for (LocalAttempt attempt : attempts.values()) {
      if (!attempt.phase.ended()) {
        free = free.minus(attempt.reservation.taskAmount().times(attempt.reservation.tasks()));
      }
    }
    return free;
  }

  // Versions count up from the time of the first report, so that no two incarnations of a worker
  // use the same version.
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
    attempts.forEach(
        (attemptId, attempt) ->
            tasks.add(
                new TaskReport(
                    attemptId,
                    attempt.reservation.jobName(),
                    attempt.reservation.hosts(),
                    attempt.phase,
                    reportedUsage(attempt, nowMs),
                    attempt.throttled)));
    return tasks;
  }

  private void recordEvent(
      String attemptId, LocalAttempt attempt, String event, String reason, long wallMs) {
    Reservation reservation = attempt.reservation;
    int gangHosts = (int) reservation.hosts().stream().distinct().count();
    ledger.add(
        new TaskEvent(host, attemptId, reservation.jobName(), gangHosts, event, wallMs, reason));
  }

  private static boolean isRunning(LocalAttempt attempt) {
    return attempt.phase == TaskPhase.RUNNING || attempt.phase == TaskPhase.CHECKPOINTED;
  }

  private static Optional<String> firstPresent(Optional<String> first, Optional<String> second) {
    return first.isPresent() ? first : second;
  }
}
