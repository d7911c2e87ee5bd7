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
 * Keeps running gangs alive while no decider acts for the zone: a view is changing, or every entry
 * host was replaced while the log is out. It starts nothing and stops nothing; it only renews the
 * parts of gangs of which every part was just reported, under the epoch that the worker itself
 * names, so any later decider overrides it. A gang that is not whole is left to lapse.
 */
final class LeaseRenewer {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseRenewer.class);
  private static final long INTERVAL_MS = 500;
  private static final long TIMEOUT_MS = 450;

  private final Clock clock;
  private final WorkerService workers;
  private final Executor loop;
  private long nextTickMs;
  private long lastTickMs = Long.MIN_VALUE / 2;
  private final Map<String, Seen> lastReports = new HashMap<>();

  /** The last report of a worker and when it was asked for. */
  private record Seen(WorkerReport report, long askedMs) {}

  LeaseRenewer(Clock clock, WorkerService workers, Executor loop) {
    this.clock = clock;
    this.workers = workers;
    this.loop = loop;
  }

  /** Renews what runs on {@code hosts}, if it is time. */
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

  private boolean areAllPartsAlive(TaskReport task, long askedMs) {
    for (String host : task.hosts()) {
      Seen other = lastReports.get(host);
      boolean recent = other != null && askedMs - other.askedMs() <= GangTimes.DEFAULT.memberMs();
      boolean lives =
          recent
              && other
                  .report()
                  .task(task.attemptId())
                  .map(
                      part ->
                          part.phase() == TaskPhase.RUNNING || part.phase() == TaskPhase.SUCCEEDED)
                  .orElse(false);
      if (!lives) {
        return false;
      }
    }
    return true;
  }

  private void renewParts(ListedHost host, WorkerReport report, long askedMs) {
    lastReports.put(host.name(), new Seen(report, askedMs));
    List<WorkerOperation> renewals = new ArrayList<>();
    long leaseMs = GangTimes.DEFAULT.leaseMs();
    for (TaskReport task : report.tasks()) {
      if (task.phase() == TaskPhase.RUNNING && areAllPartsAlive(task, askedMs)) {
        renewals.add(WorkerOperation.simple(WorkerOperation.Kind.RENEW, task.attemptId(), leaseMs));
      }
    }
    long validUntil = report.clockMs() + GangTimes.DEFAULT.commandMs();
    if (!renewals.isEmpty() && clock.nowMs() - askedMs < TIMEOUT_MS) {
      workers.exchange(
          host.address(), new WorkerExchange(report.epoch(), validUntil, renewals, 0), TIMEOUT_MS);
    }
  }
}
