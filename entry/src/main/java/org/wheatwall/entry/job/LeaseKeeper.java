package org.wheatwall.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.platform.WorkerService;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Renews the leases of running gangs while no decider acts for the zone, because a view is changing
 * or because every entry host was replaced while the log is unavailable. It starts and stops
 * nothing; it renews only gangs of which every part was reported recently, under the epoch that the
 * worker itself reports, so that any later decider overrides it. The leases of an incomplete gang
 * expire.
 */
final class LeaseKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
  private static final long INTERVAL_MS = 500;
  private static final long TIMEOUT_MS = 450;

  private final Clock clock;
  private final WorkerService workers;
  private final Executor loop;
  private long nextTickMs;
  private long lastTickMs = Long.MIN_VALUE / 2;
  private final Map<String, ReceivedReport> lastReports = new HashMap<>();

  /** The last report of a worker and the time at which it was requested. */
  private record ReceivedReport(WorkerReport report, long requestedAtMs) {}

  LeaseKeeper(Clock clock, WorkerService workers, Executor loop) {
    this.clock = clock;
    this.workers = workers;
    this.loop = loop;
  }

  /** Renews the gangs that run on {@code hosts}, at most once per interval. */
  void tick(List<ListedHost> hosts) {
    long nowMs = clock.nowMs();
    if (nowMs < nextTickMs) {
      return;
    }
    nextTickMs = nowMs + INTERVAL_MS;
    if (nowMs - lastTickMs > GangTimes.DEFAULT.memberMs()) {
      lastReports.clear();
      LOG.info("event=lease-keeper-active workers={}", hosts.size());
    }
    lastTickMs = nowMs;
    for (ListedHost host : hosts) {
      workers
          .exchange(host.address(), WorkerExchange.READ_ALL, TIMEOUT_MS)
          .thenAcceptAsync(report -> renewParts(host, report, nowMs), loop);
    }
  }

  private boolean areAllPartsAlive(TaskReport task, long requestedAtMs) {
    for (String host : task.hosts()) {
      ReceivedReport other = lastReports.get(host);
      boolean recent =
          other != null && requestedAtMs - other.requestedAtMs() <= GangTimes.DEFAULT.memberMs();
      boolean partAlive =
          recent
              && other
                  .report()
                  .task(task.attemptId())
                  .map(
                      part ->
                          part.phase() == TaskPhase.RUNNING || part.phase() == TaskPhase.SUCCEEDED)
                  .orElse(false);
      if (!partAlive) {
        return false;
      }
    }
    return true;
  }

  private void renewParts(ListedHost host, WorkerReport report, long requestedAtMs) {
    lastReports.put(host.name(), new ReceivedReport(report, requestedAtMs));
    List<WorkerOperation> renewals = new ArrayList<>();
    long leaseMs = GangTimes.DEFAULT.leaseMs();
    for (TaskReport task : report.tasks()) {
      if (task.phase() == TaskPhase.RUNNING && areAllPartsAlive(task, requestedAtMs)) {
        renewals.add(WorkerOperation.simple(WorkerOperation.Kind.RENEW, task.attemptId(), leaseMs));
      }
    }
    long validUntilMs = report.clockMs() + GangTimes.DEFAULT.commandMs();
    if (!renewals.isEmpty() && clock.nowMs() - requestedAtMs < TIMEOUT_MS) {
      workers.exchange(
          host.address(),
          new WorkerExchange(report.epoch(), validUntilMs, renewals, 0),
          TIMEOUT_MS);
    }
  }
}
