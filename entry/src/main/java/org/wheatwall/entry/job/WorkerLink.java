package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.model.WorkerReport;

/** What a decider knows about the way to one worker. Confined to the decision loop. */
final class WorkerLink {
  private final String host;
  private final String address;
  private boolean exchanging;
  private boolean wanted = true;
  private long nextHeartbeatMs;
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private long askedAtMs = Long.MIN_VALUE / 2;
  private WorkerReport report;

  WorkerLink(String host, String address) {
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

  boolean exchanging() {
    return exchanging;
  }

  /** Returns when the last report that came was asked for; the worker lived at least then. */
  long askedAtMs() {
    return askedAtMs;
  }

  /** Asks for an exchange as soon as possible. */
  void want() {
    wanted = true;
  }

  boolean isDue(long nowMs) {
    return !exchanging && (wanted || nextHeartbeatMs <= nowMs);
  }

  /** Returns whether the last exchange began at least {@code ms} ago. */
  boolean quietFor(long ms, long nowMs) {
    return nowMs - lastSentMs >= ms;
  }

  void sent(long nowMs, long heartbeatMs) {
    exchanging = true;
    wanted = false;
    lastSentMs = nowMs;
    nextHeartbeatMs = nowMs + heartbeatMs;
  }

  /** Returns the version of the inventory that is known here, 0 if none is. */
  long knownVersion() {
    return report == null ? 0 : report.version();
  }

  /** Takes a report in and returns it whole, empty if it refers to an inventory not known here. */
  Optional<WorkerReport> received(WorkerReport next, long sentMs, long nowMs) {
    exchanging = false;
    Optional<WorkerReport> whole = next.withInventoryOf(report());
    whole.ifPresent(
        complete -> {
          report = complete;
          reportedAtMs = nowMs;
          askedAtMs = sentMs;
        });
    return whole;
  }

  void failed() {
    exchanging = false;
  }

  void spreadFirstHeartbeat(long nowMs, long delayMs) {
    nextHeartbeatMs = nowMs + delayMs;
  }

  /**
   * Returns the time on the worker's clock that is certainly not later than {@code untilMs} here: a
   * worker's clock was at least what it reported when the report arrived.
   */
  long workerTime(long untilMs) {
    return report == null ? 0 : report.clockMs() + (untilMs - reportedAtMs);
  }
}
