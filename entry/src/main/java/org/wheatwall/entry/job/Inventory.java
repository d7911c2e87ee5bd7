package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerReport;

/**
 * What a new decider knows while it asks every worker what runs there. Until it has asked all, it
 * must keep running gangs alive, but not the rest of a gang that has lost a part.
 */
final class Inventory {
  private final WorkerConnections connections;
  private final long startedAtMs;
  private final long untilMs;

  /**
   * Creates an inventory.
   *
   * @param untilMs when it ends even if some worker has not answered
   */
  Inventory(WorkerConnections links, long sinceMs, long untilMs) {
    this.connections = links;
    this.startedAtMs = sinceMs;
    this.untilMs = untilMs;
  }

  /** Returns whether every worker has reported, or waiting longer is of no use. */
  boolean hasEnded(long nowMs) {
    return connections.haveAllReported() || nowMs >= untilMs;
  }

  /** Returns when a worker is known to have lived; the beginning if it has not reported yet. */
  long lastSeenMs(String host) {
    return reportOf(host).isPresent()
        ? connections.get(host).orElseThrow().reportRequestedAtMs()
        : startedAtMs;
  }

  /**
   * Returns for how long to renew a running part, empty for not at all. While some other part has
   * not been seen, the lease is short: it may have been lost before this decider began.
   */
  Optional<Integer> renewalLeaseMs(TaskReport task, long nowMs) {
    GangTimes times = connections.times();
    if (task.phase() != TaskPhase.RUNNING) {
      return Optional.empty();
    }
    boolean allSeen = true;
    for (String host : task.hosts()) {
      if (isLost(host, task.attemptId()) || nowMs - lastSeenMs(host) > times.memberMs()) {
        return Optional.empty();
      }
      allSeen &= reportOf(host).isPresent();
    }
    return Optional.of(allSeen ? times.leaseMs() : times.startMs());
  }

  private boolean isLost(String host, String attemptId) {
    Optional<WorkerReport> report = reportOf(host);
    return report.isPresent()
        && report.get().task(attemptId).filter(part -> part.phase() != TaskPhase.FAILED).isEmpty();
  }

  private Optional<WorkerReport> reportOf(String host) {
    return connections.get(host).flatMap(WorkerConnection::report);
  }
}
