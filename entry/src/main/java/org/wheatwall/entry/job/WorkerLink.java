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

  long reportedAtMs() {
    return reportedAtMs;
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

  void received(WorkerReport next, long nowMs) {
    exchanging = false;
    report = next;
    reportedAtMs = nowMs;
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
