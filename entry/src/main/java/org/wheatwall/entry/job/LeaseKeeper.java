package org.wheatwall.entry.job;

import java.util.ArrayList;
import java.util.List;
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
 * Keeps running gangs alive while a zone has no decider and no member of its view answers: every
 * entry host was replaced, perhaps while the log is out. It starts nothing and stops nothing; it
 * only renews what runs, under the epoch that the worker itself names, so any later decider
 * overrides it.
 */
final class LeaseKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
  private static final long INTERVAL_MS = 1000;
  private static final long TIMEOUT_MS = 800;

  private final Clock clock;
  private final WorkerService workers;
  private final Executor loop;
  private long nextMs;
  private boolean active;

  LeaseKeeper(Clock clock, WorkerService workers, Executor loop) {
    this.clock = clock;
    this.workers = workers;
    this.loop = loop;
  }

  /** Renews what runs on {@code hosts}, if it is time. */
  void tick(List<ListedHost> hosts) {
    long nowMs = clock.nowMs();
    if (nowMs < nextMs) {
      return;
    }
    nextMs = nowMs + INTERVAL_MS;
    if (!active) {
      active = true;
      LOG.info("event=lease-keeper-active workers={}", hosts.size());
    }
    for (ListedHost host : hosts) {
      WorkerExchange inventory = new WorkerExchange(0, 0, List.of());
      workers
          .exchange(host.address(), inventory, TIMEOUT_MS)
          .thenAcceptAsync(report -> renew(host, report, nowMs), loop);
    }
  }

  private void renew(ListedHost host, WorkerReport report, long askedMs) {
    List<WorkerOperation> renewals = new ArrayList<>();
    long leaseMs = GangTimes.DEFAULT.leaseMs();
    for (TaskReport task : report.tasks()) {
      if (task.phase() == TaskPhase.RUNNING) {
        renewals.add(WorkerOperation.simple(WorkerOperation.Kind.RENEW, task.attemptId(), leaseMs));
      }
    }
    long validUntil = report.clockMs() + GangTimes.DEFAULT.commandMs();
    if (!renewals.isEmpty() && clock.nowMs() - askedMs < TIMEOUT_MS) {
      workers.exchange(
          host.address(), new WorkerExchange(report.epoch(), validUntil, renewals), TIMEOUT_MS);
    }
  }
}
