package org.wheatwall.entry.job;

import java.util.Optional;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerReport;

/**
 * The running parts of gangs that a new decider collects from every worker. Until every worker has
 * reported, the decider renews the leases of running gangs, but not those of a gang that has lost a
 * part.
 */
final class Inventory {
  private final WorkerConnections connections;
  private final long startedAtMs;
  private final long untilMs;

  /**
   * Creates an inventory.
   *
   * @param untilMs time at which the inventory ends even if some worker has not reported
   */
  Inventory(WorkerConnections connections, long startedAtMs, long untilMs) {
    this.connections = connections;
    this.startedAtMs = startedAtMs;
    this.untilMs = untilMs;
  }

  /** Returns whether every worker has reported or the time limit has passed. */
  boolean hasEnded(long nowMs) {
    return connections.haveAllReported() || nowMs >= untilMs;
  }

  /**
   * Returns the latest time at which a worker is known to have been alive, or the start of the
   * inventory if it has not reported yet.
   */
  long lastSeenMs(String host) {
    return reportOf(host).isPresent()
        ? connections.get(host).orElseThrow().reportRequestedAtMs()
        : startedAtMs;
  }

  /**
   * Returns the lease, in milliseconds, for which to renew a running part; empty if it must not be
   * renewed. The lease is short while another part of the gang has not been reported, since that
   * part may have been lost before this decider started.
   */
  Optional<Integer> renewalLeaseMs(TaskReport task, long nowMs) {
    GangTimes times = connections.times();
    if (task.phase() != TaskPhase.RUNNING) {
      return Optional.empty();
    }
    boolean allReported = true;
    for (String host : task.hosts()) {
      if (isLost(host, task.attemptId()) || nowMs - lastSeenMs(host) > times.memberMs()) {
        return Optional.empty();
      }
      allReported &= reportOf(host).isPresent();
    }
    return Optional.of(allReported ? times.leaseMs() : times.startMs());
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
