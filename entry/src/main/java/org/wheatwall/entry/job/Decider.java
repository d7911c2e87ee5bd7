package org.wheatwall.entry.job;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.shadow.ShadowRun;
import org.wheatwall.core.job.shadow.ShadowRuns;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.platform.ListedHost;

/**
 * Schedules and runs gangs for one availability zone while this host holds that duty. A new decider
 * first collects the inventory of every worker, or waits until the leases on workers that it cannot
 * reach have expired. Confined to the decision loop.
 */
final class Decider {
  /** Stages of a host's duty as decider. */
  enum Stage {
    PASSIVE,
    INVENTORY,
    DECIDING
  }

  private static final Logger LOG = LoggerFactory.getLogger(Decider.class);
  private static final long PASS_INTERVAL_MS = 200;
  private static final long NEW_ZONE_INVENTORY_MS = 1000;

  private final Clock clock;
  private final DeciderPorts ports;
  private final JobConfiguration configuration;
  private final SchedulerSettings schedulerSettings;
  private final WorkerConnections connections;
  private final GangTable gangs = new GangTable();
  private final AttemptEndHandler endHandler;
  private final WorkerExchanges exchanges;
  private final Timer passTimer;
  private final AttemptLifecycle lifecycle;
  private final ShadowRuns shadowRuns;
  private Scheduler scheduler;
  private Stage stage = Stage.PASSIVE;
  private DeciderLease lease = new DeciderLease(0, Long.MIN_VALUE, false, false);
  private Inventory inventory;
  private long nextPassMs;
  private boolean decisionRequested;

  Decider(
      Clock clock,
      DeciderPorts ports,
      JobConfiguration configuration,
      SchedulerSettings schedulerSettings,
      int workerMessagesPerSecond,
      MetricRegistry metrics) {
    this.clock = clock;
    this.ports = ports;
    this.configuration = configuration;
    this.schedulerSettings = schedulerSettings;
    this.connections = new WorkerConnections(workerMessagesPerSecond);
    this.endHandler = new AttemptEndHandler(gangs, configuration, ports);
    this.exchanges =
        new WorkerExchanges(
            clock,
            ports,
            connections,
            gangs,
            endHandler,
            new DutyView(),
            metrics.meter("jobs.worker-exchanges"));
    this.scheduler = new Scheduler(schedulerSettings);
    this.shadowRuns = new ShadowRuns(schedulerSettings);
    this.passTimer = metrics.timer("jobs.decide-time");
    this.lifecycle =
        new AttemptLifecycle(
            connections,
            gangs,
            endHandler,
            shadowRuns,
            () -> scheduler,
            () -> decisionRequested = true,
            metrics);
    metrics.gauge("jobs.waiting", () -> () -> scheduler.waiting().size());
    metrics.gauge("jobs.attempts", () -> () -> scheduler.running().size());
  }

  Stage stage() {
    return stage;
  }

  long epoch() {
    return lease.epoch();
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** Returns the candidate policies that run in shadow, by name. */
  Map<String, ShadowRun> shadowRuns() {
    return shadowRuns.runs();
  }

  GangTable gangs() {
    return gangs;
  }

  /** Applies changed configuration. */
  void onConfigurationChanged(Collection<StoredResource> changed) {
    long nowMs = clock.nowMs();
    Set<JobConfiguration.ChangedPart> changedParts = new HashSet<>();
    changed.forEach(stored -> configuration.apply(stored, nowMs).ifPresent(changedParts::add));
    if (stage != Stage.DECIDING) {
      return;
    }
    configureScheduler(changedParts);
    JobConfiguration.jobNames(changed).forEach(this::applyJob);
    decisionRequested = true;
  }

  /** Applies a changed list of hosts. */
  void onHostsChanged() {
    if (stage != Stage.PASSIVE) {
      refreshHosts(clock.nowMs());
      decisionRequested = true;
    }
  }

  /**
   * Checks the lease, runs a scheduling pass if it is due and starts the exchanges that are due.
   */
  void tick() {
    long nowMs = clock.nowMs();
    Optional<DeciderLease> current = ports.lease();
    if (current.isEmpty()) {
      // The lease may be renewed within the same view; only a new epoch ends the duty.
      lease = new DeciderLease(lease.epoch(), Long.MIN_VALUE, false, false);
      return;
    }
    if (current.get().epoch() != lease.epoch() || stage == Stage.PASSIVE) {
      assumeDuty(current.get(), nowMs);
    }
    lease = current.get();
    if (stage == Stage.INVENTORY) {
      endInventory(nowMs);
    }
    if (stage == Stage.DECIDING) {
      runSchedulingPass(nowMs);
      lifecycle.sweep(nowMs);
    }
    exchanges.startDueExchanges(nowMs);
  }

  /** Ends the duty, because the current view assigns it to another host. */
  void endDuty() {
    if (stage != Stage.PASSIVE) {
      LOG.info("event=decider-ended epoch={}", lease.epoch());
      stage = Stage.PASSIVE;
      gangs.clear();
      connections.clear();
      endHandler.clear();
      shadowRuns.clear();
      scheduler = new Scheduler(schedulerSettings);
    }
  }

  private void assumeDuty(DeciderLease next, long nowMs) {
    if (next.continuous() && stage == Stage.DECIDING) {
      scheduler.setAttemptPrefix(Long.toString(next.epoch(), 36));
      LOG.info("event=decider-continues epoch={}", next.epoch());
      return;
    }
    endDuty();
    refreshHosts(nowMs);
    scheduler.setAttemptPrefix(Long.toString(next.epoch(), 36));
    stage = Stage.INVENTORY;
    long leaseExpiryMs = connections.times().lapseMs(connections.times().leaseMs());
    long untilMs = nowMs + (next.first() ? NEW_ZONE_INVENTORY_MS : leaseExpiryMs);
    inventory = new Inventory(connections, nowMs, untilMs);
    connections.all().forEach(WorkerConnection::requestExchange);
    LOG.info("event=decider-inventory epoch={} workers={}", next.epoch(), connections.all().size());
  }

  private void endInventory(long nowMs) {
    if (!inventory.hasEnded(nowMs)) {
      return;
    }
    boolean allReported = connections.haveAllReported();
    configureScheduler(Set.of(JobConfiguration.ChangedPart.values()));
    new AttemptAdoption(configuration, connections, gangs, scheduler, inventory)
        .adoptWantedAttempts(nowMs);
    stage = Stage.DECIDING;
    List<ConfiguredJob> jobsByVersion = new ArrayList<>(configuration.jobs().values());
    jobsByVersion.sort(java.util.Comparator.comparingLong(ConfiguredJob::version));
    jobsByVersion.forEach(configuredJob -> applyJob(configuredJob.name()));
    decisionRequested = true;
    LOG.info(
        "event=decider-ready epoch={} adopted={} waiting={} complete={}",
        lease.epoch(),
        gangs.all().size(),
        scheduler.waiting().size(),
        allReported);
  }

  private void configureScheduler(Set<JobConfiguration.ChangedPart> changedParts) {
    if (changedParts.contains(JobConfiguration.ChangedPart.WORKSPACES)) {
      scheduler.setWorkspaces(configuration.workspaces());
    }
    if (changedParts.contains(JobConfiguration.ChangedPart.SHAPES)) {
      scheduler.setShapes(configuration.shapes());
    }
    if (changedParts.contains(JobConfiguration.ChangedPart.POLICIES)) {
      scheduler.setPolicies(configuration.policies());
      shadowRuns.configure(configuration.policies(), scheduler);
    }
    if (changedParts.contains(JobConfiguration.ChangedPart.HOSTS)) {
      applyHostAdminStates();
    }
  }

  private void applyJob(String name) {
    ConfiguredJob configuredJob = configuration.jobs().get(name);
    if (configuredJob != null && !configuredJob.job().phase().isFinal()) {
      scheduler.submit(name, configuredJob.job(), configuredJob.firstSeenMs());
      shadowRuns.forEach(
          run -> run.onSubmitted(name, configuredJob.job(), configuredJob.firstSeenMs()));
      return;
    }
    endHandler.removeJob(name);
    long nowMs = clock.nowMs();
    shadowRuns.forEach(run -> run.onWithdrawn(name, nowMs));
    scheduler
        .withdraw(name)
        .flatMap(gangs::get)
        .ifPresent(
            attempt -> {
              attempt.requestStop(nowMs);
              connections.requestExchanges(attempt.hosts());
            });
  }

  private void refreshHosts(long nowMs) {
    connections.refresh(ports.workers(), scheduler.cluster(), gangs.hosts(), nowMs);
    applyHostAdminStates();
    scheduler.hostsChanged();
    shadowRuns.forEach(run -> run.onHostsChanged(scheduler));
  }

  private void applyHostAdminStates() {
    Set<String> unusable = new TreeSet<>(configuration.cordoned());
    for (ListedHost worker : ports.workers()) {
      if (worker.state() == ListedHost.State.LEAVING) {
        unusable.add(worker.name());
      }
    }
    scheduler.setCordoned(unusable);
    configuration
        .hostAdminStates()
        .forEach((name, adminState) -> scheduler.cluster().setLabels(name, adminState.labels()));
  }

  private void runSchedulingPass(long nowMs) {
    if (!decisionRequested && nowMs < nextPassMs) {
      return;
    }
    decisionRequested = false;
    nextPassMs = nowMs + PASS_INTERVAL_MS;
    List<Decision> decisions;
    try (Timer.Context ignored = passTimer.time()) {
      decisions = scheduler.decide(nowMs);
    }
    shadowRuns.forEach(run -> run.decide(scheduler.cluster().fragmentation(), nowMs));
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        lifecycle.begin(start, nowMs);
      } else if (decision instanceof Decision.Stop stop) {
        gangs.get(stop.attemptId()).ifPresent(attempt -> lifecycle.stop(attempt, nowMs));
      }
    }
  }

  /** Returns a text that says why a job waits or where it runs. */
  String explain(String jobName) {
    return new JobExplainer(configuration, gangs, scheduler)
        .explain(jobName, stage == Stage.DECIDING);
  }

  /** Gives the worker exchanges access to this duty and passes their reports on. */
  private final class DutyView implements WorkerExchanges.Duty {
    @Override
    public DeciderLease lease() {
      return lease;
    }

    @Override
    public boolean isDeciding() {
      return stage == Stage.DECIDING;
    }

    @Override
    public Inventory inventory() {
      return inventory;
    }

    @Override
    public void onAttemptReported(GangAttempt attempt, long nowMs) {
      lifecycle.advance(attempt, nowMs);
    }

    @Override
    public void onReportApplied(long nowMs) {
      if (decisionRequested) {
        runSchedulingPass(nowMs);
      }
    }
  }
}
