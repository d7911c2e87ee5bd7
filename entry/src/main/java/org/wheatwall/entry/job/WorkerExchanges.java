package org.wheatwall.entry.job;

import com.codahale.metrics.Meter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Runs the decider's exchanges with the workers of its zone: collects the operations for each
 * worker and applies the reports. Confined to the decision loop.
 */
final class WorkerExchanges {
  private static final long EXCHANGE_TIMEOUT_MS = 500;

  private final Clock clock;
  private final DeciderPorts ports;
  private final WorkerConnections connections;
  private final GangTable gangs;
  private final AttemptEndHandler endHandler;
  private final Duty duty;
  private final Meter exchangeMeter;

  /** The decider's duty on whose behalf the exchanges run. */
  interface Duty {
    DeciderLease lease();

    /** Returns whether the inventory has ended. */
    boolean isDeciding();

    /** Returns the latest inventory; called only while it has not ended. */
    Inventory inventory();

    /** Called after a report was applied to an attempt. */
    void onAttemptReported(GangAttempt attempt, long nowMs);

    /** Called after a complete report was applied to all attempts on its worker. */
    void onReportApplied(long nowMs);
  }

  WorkerExchanges(
      Clock clock,
      DeciderPorts ports,
      WorkerConnections connections,
      GangTable gangs,
      AttemptEndHandler endHandler,
      Duty duty,
      Meter exchangeMeter) {
    this.clock = clock;
    this.ports = ports;
    this.connections = connections;
    this.gangs = gangs;
    this.endHandler = endHandler;
    this.duty = duty;
    this.exchangeMeter = exchangeMeter;
  }

  /** Starts the exchanges that are due. */
  void startDueExchanges(long nowMs) {
    for (WorkerConnection connection : connections.all()) {
      if (connection.isDue(nowMs)) {
        exchange(connection, nowMs);
      }
    }
  }

  private void exchange(WorkerConnection connection, long nowMs) {
    long validUntilMs = Math.min(nowMs + connections.times().commandMs(), duty.lease().untilMs());
    boolean knowsClock = connection.report().isPresent();
    List<WorkerOperation> operations =
        knowsClock
            ? RenewalCoalescing.coalesce(operationsFor(connection, nowMs), connection.report())
            : List.of();
    WorkerExchange exchange =
        new WorkerExchange(
            duty.lease().epoch(),
            knowsClock ? connection.toWorkerClock(validUntilMs) : 0,
            operations,
            connection.knownVersion());
    long epoch = duty.lease().epoch();
    connection.onExchangeSent(nowMs, connections.heartbeatMs());
    exchangeMeter.mark();
    ports
        .exchange(connection.address(), exchange, EXCHANGE_TIMEOUT_MS)
        .whenComplete(
            (report, failure) -> {
              if (connections.get(connection.host()).orElse(null) != connection) {
                return;
              }
              if (failure != null) {
                connection.onExchangeFailed();
                connection.requestExchange();
              } else {
                onReport(
                    connection, report, RenewalCoalescing.isRenewAll(operations), nowMs, epoch);
              }
            });
  }

  private List<WorkerOperation> operationsFor(WorkerConnection connection, long nowMs) {
    List<WorkerOperation> operations = new ArrayList<>();
    for (GangAttempt attempt : gangs.onHost(connection.host())) {
      if (!endHandler.isPublishing(attempt.jobName())) {
        attempt.operationFor(connection.host(), nowMs).ifPresent(operations::add);
      }
    }
    for (TaskReport task : connection.report().map(WorkerReport::tasks).orElse(List.of())) {
      if (gangs.get(task.attemptId()).isEmpty()) {
        operationForUnknownPart(task, nowMs).ifPresent(operations::add);
      }
    }
    return operations;
  }

  // During the inventory the leases of complete gangs are renewed; after it, parts of unknown
  // attempts are stopped.
  private Optional<WorkerOperation> operationForUnknownPart(TaskReport task, long nowMs) {
    if (duty.isDeciding()) {
      WorkerOperation.Kind kind =
          task.phase().ended() ? WorkerOperation.Kind.FORGET : WorkerOperation.Kind.STOP;
      return Optional.of(WorkerOperation.simple(kind, task.attemptId(), 0));
    }
    return duty.inventory()
        .renewalLeaseMs(task, nowMs)
        .map(
            leaseMs ->
                WorkerOperation.simple(WorkerOperation.Kind.RENEW, task.attemptId(), leaseMs));
  }

  private void onReport(
      WorkerConnection connection,
      WorkerReport received,
      boolean renewedAll,
      long sentMs,
      long epoch) {
    long nowMs = clock.nowMs();
    boolean firstReport = connection.report().isEmpty();
    Optional<WorkerReport> completeReport = connection.onReport(received, sentMs, nowMs);
    if (completeReport.isEmpty()) {
      connection.requestExchange();
      return;
    }
    WorkerReport report = completeReport.get();
    if (renewedAll && !received.unchanged()) {
      // Nothing was renewed, since the renewal named an older version of the inventory.
      connection.requestExchange();
    }
    if (epoch != duty.lease().epoch() || !duty.isDeciding()) {
      if (firstReport) {
        connection.requestExchange();
      }
      return;
    }
    for (GangAttempt attempt : gangs.onHost(connection.host())) {
      attempt.onReport(report, sentMs);
      if (report.refusal().isPresent() && report.task(attempt.attemptId()).isEmpty()) {
        attempt.onRefused(connection.host(), nowMs);
      }
      duty.onAttemptReported(attempt, nowMs);
    }
    boolean hasUnknownPart =
        report.tasks().stream().anyMatch(task -> gangs.get(task.attemptId()).isEmpty());
    if (firstReport || hasUnknownPart) {
      connection.requestExchange();
    }
    duty.onReportApplied(nowMs);
  }
}
