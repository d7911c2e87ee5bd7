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
 * The decider's exchanges with the workers of its zone: what to ask of each, and what to make of
 * the reports. Confined to the decision loop.
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

  /** The duty that the exchanges serve. */
  interface Duty {
    DeciderLease lease();

    /** Returns whether the inventory is over. */
    boolean isDeciding();

    /** Returns the inventory taken last; asked for only before deciding. */
    Inventory inventory();

    /** Notes that an attempt has learned something from a report. */
    void onAttemptReported(GangAttempt attempt, long nowMs);

    /** Notes that a whole report was taken in. */
    void onReportApplied(long nowMs);
  }

  WorkerExchanges(
      Clock clock,
      DeciderPorts ports,
      WorkerConnections links,
      GangTable gangs,
      AttemptEndHandler ends,
      Duty duty,
      Meter counter) {
    this.clock = clock;
    this.ports = ports;
    this.connections = links;
    this.gangs = gangs;
    this.endHandler = ends;
    this.duty = duty;
    this.exchangeMeter = counter;
  }

  /** Starts the exchanges that are due. */
  void startDueExchanges(long nowMs) {
    for (WorkerConnection link : connections.all()) {
      if (link.isDue(nowMs)) {
        exchange(link, nowMs);
      }
    }
  }

  private void exchange(WorkerConnection link, long nowMs) {
    long validUntilMs = Math.min(nowMs + connections.times().commandMs(), duty.lease().untilMs());
    boolean knowsClock = link.report().isPresent();
    List<WorkerOperation> operations =
        knowsClock
            ? RenewalCoalescing.coalesce(operationsFor(link, nowMs), link.report())
            : List.of();
    WorkerExchange exchange =
        new WorkerExchange(
            duty.lease().epoch(),
            knowsClock ? link.toWorkerClock(validUntilMs) : 0,
            operations,
            link.knownVersion());
    long epoch = duty.lease().epoch();
    link.onExchangeSent(nowMs, connections.heartbeatMs());
    exchangeMeter.mark();
    ports
        .exchange(link.address(), exchange, EXCHANGE_TIMEOUT_MS)
        .whenComplete(
            (report, failure) -> {
              if (connections.get(link.host()).orElse(null) != link) {
                return;
              }
              if (failure != null) {
                link.onExchangeFailed();
                link.requestExchange();
              } else {
                onReport(link, report, RenewalCoalescing.isRenewAll(operations), nowMs, epoch);
              }
            });
  }

  private List<WorkerOperation> operationsFor(WorkerConnection link, long nowMs) {
    List<WorkerOperation> operations = new ArrayList<>();
    for (GangAttempt attempt : gangs.onHost(link.host())) {
      if (!endHandler.isPublishing(attempt.jobName())) {
        attempt.operationFor(link.host(), nowMs).ifPresent(operations::add);
      }
    }
    for (TaskReport task : link.report().map(WorkerReport::tasks).orElse(List.of())) {
      if (gangs.get(task.attemptId()).isEmpty()) {
        operationForUnknownPart(task, nowMs).ifPresent(operations::add);
      }
    }
    return operations;
  }

  // During the inventory every gang found whole is kept alive; after it, what is not ours is
  // stopped.
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
      WorkerConnection link, WorkerReport received, boolean renewedAll, long sentMs, long epoch) {
    long nowMs = clock.nowMs();
    boolean firstReport = link.report().isEmpty();
    Optional<WorkerReport> whole = link.onReport(received, sentMs, nowMs);
    if (whole.isEmpty()) {
      link.requestExchange();
      return;
    }
    WorkerReport report = whole.get();
    if (renewedAll && !received.unchanged()) {
      // Nothing was renewed, since the renewal named an older version of the inventory.
      link.requestExchange();
    }
    if (epoch != duty.lease().epoch() || !duty.isDeciding()) {
      if (firstReport) {
        link.requestExchange();
      }
      return;
    }
    for (GangAttempt attempt : gangs.onHost(link.host())) {
      attempt.onReport(report, sentMs);
      if (report.refusal().isPresent() && report.task(attempt.attemptId()).isEmpty()) {
        attempt.onRefused(link.host(), nowMs);
      }
      duty.onAttemptReported(attempt, nowMs);
    }
    boolean foreign =
        report.tasks().stream().anyMatch(task -> gangs.get(task.attemptId()).isEmpty());
    if (firstReport || foreign) {
      link.requestExchange();
    }
    duty.onReportApplied(nowMs);
  }
}
