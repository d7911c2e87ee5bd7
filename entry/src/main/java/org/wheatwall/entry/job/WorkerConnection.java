package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.model.WorkerReport;

/** What a decider knows about the way to one worker. Confined to the decision loop. */
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

  /** Returns when the last report that came was asked for; the worker lived at least then. */
  long reportRequestedAtMs() {
    return reportRequestedAtMs;
  }

  /** Asks for an exchange as soon as possible. */
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

  /** Returns the version of the inventory that is known here, 0 if none is. */
  long knownVersion() {
    return report == null ? 0 : report.version();
  }

  /** Takes a report in and returns it whole, empty if it refers to an inventory not known here. */
  Optional<WorkerReport> onReport(WorkerReport next, long sentMs, long nowMs) {
    exchangeInFlight = false;
    Optional<WorkerReport> whole = next.completedFrom(report());
    whole.ifPresent(
        complete -> {
          report = complete;
          reportReceivedAtMs = nowMs;
          reportRequestedAtMs = sentMs;
        });
    return whole;
  }

  void onExchangeFailed() {
    exchangeInFlight = false;
  }

  void delayFirstHeartbeat(long nowMs, long delayMs) {
    nextHeartbeatMs = nowMs + delayMs;
  }

  /**
   * Returns the time on the worker's clock that is certainly not later than {@code untilMs} here: a
   * worker's clock was at least what it reported when the report arrived.
   */
  long toWorkerClock(long untilMs) {
    return report == null ? 0 : report.clockMs() + (untilMs - reportReceivedAtMs);
  }
}
