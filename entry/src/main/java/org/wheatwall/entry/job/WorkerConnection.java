package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.model.WorkerReport;

/** The state of a decider's exchanges with one worker. Confined to the decision loop. */
final class WorkerConnection {
  private final String host;
  private final String address;
  private boolean exchangeInFlight;
  private boolean exchangeRequested = true;
  private long nextHeartbeatMs;
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long reportReceivedAtMs = Long.MIN_VALUE / 2;
  private long reportRequestedAtMs = Long.MIN_VALUE / 2;
  private WorkerReport report;

  WorkerConnection(String host, String address) {
    this.host = host;
    this.address = address;
  }

  String host() {
    return host;
  }

  String address() {
    return address;
  }

  Optional<WorkerReport> report() {
    return Optional.ofNullable(report);
  }

  boolean exchangeInFlight() {
    return exchangeInFlight;
  }

  /**
   * Returns when the last received report was requested; the worker was alive at that time or
   * later.
   */
  long reportRequestedAtMs() {
    return reportRequestedAtMs;
  }

  /** Requests an exchange as soon as possible. */
  void requestExchange() {
    exchangeRequested = true;
  }

  boolean isDue(long nowMs) {
    return !exchangeInFlight && (exchangeRequested || nextHeartbeatMs <= nowMs);
  }

  /** Returns whether the last exchange began at least {@code ms} ago. */
  boolean isIdleFor(long ms, long nowMs) {
    return nowMs - lastSentMs >= ms;
  }

  void onExchangeSent(long nowMs, long heartbeatMs) {
    exchangeInFlight = true;
    exchangeRequested = false;
    lastSentMs = nowMs;
    nextHeartbeatMs = nowMs + heartbeatMs;
  }

  /** Returns the version of the last received inventory, 0 if there is none. */
  long knownVersion() {
    return report == null ? 0 : report.version();
  }

  /** Stores a report and returns it complete; empty if it refers to an inventory unknown here. */
  Optional<WorkerReport> onReport(WorkerReport next, long sentMs, long nowMs) {
    exchangeInFlight = false;
    Optional<WorkerReport> completeReport = next.withInventoryOf(report());
    completeReport.ifPresent(
        complete -> {
          report = complete;
          reportReceivedAtMs = nowMs;
          reportRequestedAtMs = sentMs;
        });
    return completeReport;
  }

  void onExchangeFailed() {
    exchangeInFlight = false;
  }

  void delayFirstHeartbeat(long nowMs, long delayMs) {
    nextHeartbeatMs = nowMs + delayMs;
  }

  /**
   * Returns a time on the worker's clock that is not later than {@code untilMs} on this host's
   * clock: when a report arrives, the worker's clock shows at least the reported time.
   */
  long toWorkerClock(long untilMs) {
    return report == null ? 0 : report.clockMs() + (untilMs - reportReceivedAtMs);
  }
}
