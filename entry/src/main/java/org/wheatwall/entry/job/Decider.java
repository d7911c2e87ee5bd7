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
 * Decides and carries out gangs for one availability zone, while this host holds that duty. A new
 * decider first takes the inventory of every worker, or waits until the leases on those it cannot
 * reach have lapsed. Confined to the decision loop.
 */
final class Decider {
  /** Stages of being the decider. */
  enum Stage {
    PASSIVE,
    INVENTORY,
    DECIDING
  }

  private static final Logger LOG = LoggerFactory.getLogger(Decider.class);
  private static final long DECIDE_MS = 200;
  private static final long FIRST_INVENTORY_MS = 1000;

  private final Clock clock;
  private final DeciderPorts ports;
  private final JobConfiguration configuration;
  private final SchedulerSettings schedulerSettings;
  private final WorkerLinks links;
  private final GangTable gangs = new GangTable();
  private final AttemptEnds ends;
  private final WorkerExchanges exchanges;
  private final Timer decideTimer;
  private final AttemptCourses courses;
  private final ShadowRuns shadows;
  private Scheduler scheduler;
  private Stage stage = Stage.PASSIVE;
  private DeciderLease lease = new DeciderLease(0, Long.MIN_VALUE, false, false);
  private Inventory inventory;
  private long nextDecideMs;
  private boolean dirty;

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
    this.links = new WorkerLinks(workerMessagesPerSecond);
    this.ends = new AttemptEnds(gangs, configuration, ports);
    this.exchanges =
        new WorkerExchanges(
            clock,
            ports,
            links,
            gangs,
            ends,
            new DutyView(),
            metrics.meter("jobs.worker-exchanges"));
    this.scheduler = new Scheduler(schedulerSettings);
    this.shadows = new ShadowRuns(schedulerSettings);
    this.decideTimer = metrics.timer("jobs.decide-time");
    this.courses =
        new AttemptCourses(
            links, gangs, ends, shadows, () -> scheduler, () -> dirty = true, metrics);
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
  Map<String, ShadowRun> shadows() {
    return shadows.runs();
  }

  GangTable gangs() {
    return gangs;
  }

  /** Takes in changed configuration. */
  void configurationChanged(Collection<StoredResource> changed) {
    long nowMs = clock.nowMs();
    Set<JobConfiguration.Affected> affected = new HashSet<>();
    changed.forEach(stored -> configuration.take(stored, nowMs).ifPresent(affected::add));
    if (stage != Stage.DECIDING) {
      return;
    }
    configure(affected);
    JobConfiguration.jobNames(changed).forEach(this::jobChanged);
    dirty = true;
  }

  /** Takes in a changed list of hosts. */
  void hostsChanged() {
    if (stage != Stage.PASSIVE) {
      refreshHosts(clock.nowMs());
      dirty = true;
    }
  }

  /** Does what is due. */
  void tick() {
    long nowMs = clock.nowMs();
    Optional<DeciderLease> now = ports.lease();
    if (now.isEmpty()) {
      // The lease may come back within the same view; only another epoch ends the duty.
      lease = new DeciderLease(lease.epoch(), Long.MIN_VALUE, false, false);
      return;
    }
    if (now.get().epoch() != lease.epoch() || stage == Stage.PASSIVE) {
      takeDuty(now.get(), nowMs);
    }
    lease = now.get();
    if (stage == Stage.INVENTORY) {
      endInventory(nowMs);
    }
    if (stage == Stage.DECIDING) {
      decide(nowMs);
      courses.sweep(nowMs);
    }
    exchanges.exchangeWhatIsDue(nowMs);
  }

  /** Gives up the duty, because another host has it in the view now in force. */
  void loseDuty() {
    if (stage != Stage.PASSIVE) {
      LOG.info("event=decider-ended epoch={}", lease.epoch());
      stage = Stage.PASSIVE;
      gangs.clear();
      links.clear();
      ends.clear();
      shadows.clear();
      scheduler = new Scheduler(schedulerSettings);
    }
  }

  private void takeDuty(DeciderLease next, long nowMs) {
    if (next.continuous() && stage == Stage.DECIDING) {
      scheduler.setAttemptPrefix(Long.toString(next.epoch(), 36));
      LOG.info("event=decider-continues epoch={}", next.epoch());
      return;
    }
    loseDuty();
    refreshHosts(nowMs);
    scheduler.setAttemptPrefix(Long.toString(next.epoch(), 36));
    stage = Stage.INVENTORY;
    long lapseMs = links.times().lapseMs(links.times().leaseMs());
    long untilMs = nowMs + (next.first() ? FIRST_INVENTORY_MS : lapseMs);
    inventory = new Inventory(links, nowMs, untilMs);
    links.all().forEach(WorkerLink::want);
    LOG.info("event=decider-inventory epoch={} workers={}", next.epoch(), links.all().size());
  }

  private void endInventory(long nowMs) {
    if (!inventory.isOver(nowMs)) {
      return;
    }
    boolean complete = links.allReported();
    configure(Set.of(JobConfiguration.Affected.values()));
    new AttemptAdoption(configuration, links, gangs, scheduler, inventory).adoptAll(nowMs);
    stage = Stage.DECIDING;
    List<JobEntry> inOrder = new ArrayList<>(configuration.jobs().values());
    inOrder.sort(java.util.Comparator.comparingLong(JobEntry::version));
    inOrder.forEach(entry -> jobChanged(entry.name()));
    dirty = true;
    LOG.info(
        "event=decider-ready epoch={} adopted={} waiting={} complete={}",
        lease.epoch(),
        gangs.all().size(),
        scheduler.waiting().size(),
        complete);
  }

  private void configure(Set<JobConfiguration.Affected> affected) {
    if (affected.contains(JobConfiguration.Affected.WORKSPACES)) {
      scheduler.setWorkspaces(configuration.workspaces());
    }
    if (affected.contains(JobConfiguration.Affected.SHAPES)) {
      scheduler.setShapes(configuration.shapes());
    }
    if (affected.contains(JobConfiguration.Affected.POLICIES)) {
      scheduler.setPolicies(configuration.policies());
      shadows.configure(configuration.policies(), scheduler);
    }
    if (affected.contains(JobConfiguration.Affected.HOSTS)) {
      markHosts();
    }
  }

  private void jobChanged(String name) {
    JobEntry entry = configuration.jobs().get(name);
    if (entry != null && !entry.job().phase().isFinal()) {
      scheduler.submit(name, entry.job(), entry.seenMs());
      shadows.forEach(run -> run.onSubmitted(name, entry.job(), entry.seenMs()));
      return;
    }
    ends.forget(name);
    long nowMs = clock.nowMs();
    shadows.forEach(run -> run.onWithdrawn(name, nowMs));
    scheduler
        .withdraw(name)
        .flatMap(gangs::get)
        .ifPresent(
            attempt -> {
              attempt.requestStop(nowMs);
              links.want(attempt.hosts());
            });
  }

  private void refreshHosts(long nowMs) {
    links.refresh(ports.workers(), scheduler.cluster(), gangs.hosts(), nowMs);
    markHosts();
    scheduler.hostsChanged();
    shadows.forEach(run -> run.onHostsChanged(scheduler));
  }

  private void markHosts() {
    Set<String> unusable = new TreeSet<>(configuration.cordoned());
    for (ListedHost worker : ports.workers()) {
      if (worker.state() == ListedHost.State.LEAVING) {
        unusable.add(worker.name());
      }
    }
    scheduler.setCordoned(unusable);
    configuration
        .marks()
        .forEach((name, mark) -> scheduler.cluster().setLabels(name, mark.labels()));
  }

  private void decide(long nowMs) {
    if (!dirty && nowMs < nextDecideMs) {
      return;
    }
    dirty = false;
    nextDecideMs = nowMs + DECIDE_MS;
    List<Decision> decisions;
    try (Timer.Context ignored = decideTimer.time()) {
      decisions = scheduler.decide(nowMs);
    }
    shadows.forEach(run -> run.decide(scheduler.cluster().fragmentation(), nowMs));
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        courses.begin(start, nowMs);
      } else if (decision instanceof Decision.Stop stop) {
        gangs.get(stop.attemptId()).ifPresent(attempt -> courses.stop(attempt, nowMs));
      }
    }
  }

  /** Returns why a job waits or how it runs, in words. */
  String explain(String jobName) {
    return new JobExplainer(configuration, gangs, scheduler)
        .explain(jobName, stage == Stage.DECIDING);
  }

  /** What the exchanges with workers have to know of this duty, and what they bring about. */
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
    public void reported(GangAttempt attempt, long nowMs) {
      courses.advance(attempt, nowMs);
    }

    @Override
    public void reportTaken(long nowMs) {
      if (dirty) {
        decide(nowMs);
      }
    }
  }
}
