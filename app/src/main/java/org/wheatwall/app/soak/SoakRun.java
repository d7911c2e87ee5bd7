package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wheatwall.wire.http.HttpCall;

/**
 * One run: starts a cluster and callers, applies the disturbances of a seed, waits for the cluster
 * to settle, and checks the invariants.
 */
final class SoakRun {
  private static final int CALLERS = 10;
  private static final int FIRST_JOB_LIMIT_MS = 15_000;
  private static final int RECOVERY_LIMIT_MS = 15_000;
  // Covers the wait for unreachable workers and another run of tasks whose leases expired.
  private static final int DRAIN_LIMIT_MS = 45_000;
  // By then the leases of the last lost workers have expired and their tasks have started
  // elsewhere.
  private static final int SETTLE_MS = 14_000;
  private static final int POLL_INTERVAL_MS = 100;
  private static final int JOIN_LIMIT_MS = 30_000;
  // The time for which an open load goes on after the cluster has settled.
  private static final int SETTLED_LOAD_MS = 15_000;
  private static final int STUCK_CHECK_INTERVAL_MS = 250;
  private static final int START_LIMIT_MS = 60_000;

  private final SoakSettings settings;
  private final DisturbancePlan plan;
  private final RunClock clock = new RunClock();
  private final AtomicBoolean running = new AtomicBoolean(true);
  private final ConcurrentLinkedQueue<SoakCaller> callers = new ConcurrentLinkedQueue<>();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private Optional<OpenLoad> openLoad = Optional.empty();

  SoakRun(SoakSettings settings) {
    this.settings = settings;
    this.plan =
        settings
            .sabotage()
            .map(sabotage -> FaultInjection.planOf(sabotage, settings))
            .orElseGet(() -> DisturbancePlan.draw(settings));
  }

  /** Runs to the end and returns the result. */
  SoakResult run() {
    try (SoakCluster cluster = new SoakCluster(settings, clock);
        Disturber disturber = new Disturber(cluster, clock)) {
      List<Violation> violations = new ArrayList<>();
      awaitReadyHosts(cluster);
      RecoveryCheck recovery = new RecoveryCheck(cluster, settings, clock);
      recovery
          .failure(FIRST_JOB_LIMIT_MS)
          .map(failure -> new Violation(Invariant.RECOVERS, "before any disturbance: " + failure))
          .ifPresent(violations::add);
      plan.shiftTo(clock.nowMs());
      ConfigurationProbe probe =
          new ConfigurationProbe(cluster, newClient(cluster), plan, settings, running::get);
      startThreads(cluster, probe);
      disturber.schedule(plan);
      settings.sabotage().ifPresent(sabotage -> startFaultInjection(sabotage, cluster));
      Pause.ms(plan.startMs() + settings.durationMs() - clock.nowMs());
      recovery
          .failure(RECOVERY_LIMIT_MS)
          .map(
              failure ->
                  new Violation(Invariant.RECOVERS, "after the last disturbance: " + failure))
          .ifPresent(violations::add);
      StuckJobFinder stuckJobs = new StuckJobFinder(settings.workers(), SoakWorker.ACCELERATORS);
      if (openLoad.isPresent()) {
        checkUnderLoad(cluster, stuckJobs);
      }
      running.set(false);
      joinThreads(violations);
      drain(cluster, stuckJobs);
      stuckJobs
          .found()
          .forEach(text -> violations.add(new Violation(Invariant.STARTS_WHERE_ROOM_IS, text)));
      checkProcesses(cluster, violations);
      violations.addAll(probe.violations());
      return check(cluster, violations);
    }
  }

  // Many processes that start at once on one machine take longer than one on a machine of its own.
  private void awaitReadyHosts(SoakCluster cluster) {
    long untilMs = clock.nowMs() + START_LIMIT_MS;
    SoakClient client = new SoakClient(cluster, clock);
    HttpCall probe = HttpCall.of("GET", PublishedConfigurations.JOB_PREFIX);
    for (int i = 0; i < settings.hosts(); i++) {
      while (clock.nowMs() < untilMs && !client.call(i, probe).isOk()) {
        Pause.ms(POLL_INTERVAL_MS);
      }
    }
  }

  private SoakClient newClient(SoakCluster cluster) {
    SoakClient client = new SoakClient(cluster, clock);
    clients.add(client);
    return client;
  }

  private void startThreads(SoakCluster cluster, ConfigurationProbe probe) {
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new SoakCaller(i + 1, newClient(cluster), settings, running::get));
    }
    threads.add(new Thread(probe, "configuration-probe"));
    callers.forEach(caller -> threads.add(new Thread(caller, "caller")));
    if (settings.conditions().hasOpenLoad()) {
      openLoad = Optional.of(new OpenLoad(newClient(cluster), settings, callers, running::get));
      threads.add(new Thread(openLoad.get(), "open-load"));
    }
    threads.forEach(Thread::start);
  }

  private void startFaultInjection(Sabotage sabotage, SoakCluster cluster) {
    Thread thread =
        new Thread(
            new FaultInjection(
                sabotage, cluster, List.copyOf(callers), newClient(cluster), clock, plan, settings),
            "sabotage");
    threads.add(thread);
    thread.start();
  }

  private void joinThreads(List<Violation> violations) {
    try {
      for (Thread thread : threads) {
        thread.join(JOIN_LIMIT_MS);
        if (thread.isAlive()) {
          violations.add(new Violation(Invariant.CALLS_END, thread.getName() + " still waits"));
        }
      }
      if (openLoad.isPresent() && !openLoad.get().awaitCalls(JOIN_LIMIT_MS)) {
        violations.add(new Violation(Invariant.CALLS_END, "a call of the open load still waits"));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long settledAtMs() {
    return plan.startMs() + settings.durationMs() + SETTLE_MS;
  }

  private void checkUnderLoad(SoakCluster cluster, StuckJobFinder stuckJobs) {
    Pause.ms(settledAtMs() - clock.nowMs());
    while (clock.nowMs() < settledAtMs() + SETTLED_LOAD_MS) {
      stuckJobs.check(jobs(), cluster.ledger().events(), RunClock.monotonicMs());
      Pause.ms(STUCK_CHECK_INTERVAL_MS);
    }
  }

  private void drain(SoakCluster cluster, StuckJobFinder stuckJobs) {
    long untilMs = clock.nowMs() + DRAIN_LIMIT_MS;
    Runnable checkStuckJobs =
        () -> {
          if (clock.nowMs() >= settledAtMs()) {
            stuckJobs.check(jobs(), cluster.ledger().events(), RunClock.monotonicMs());
          }
        };
    while (clock.nowMs() < untilMs && pollOpenJobs(checkStuckJobs) > 0) {
      Pause.ms(POLL_INTERVAL_MS);
    }
  }

  private static void checkProcesses(SoakCluster cluster, List<Violation> violations) {
    List<SoakHost> hosts = cluster.hosts();
    for (int i = 0; i < hosts.size(); i++) {
      if (hosts.get(i).processId().isEmpty()) {
        violations.add(new Violation(Invariant.PROCESSES_KEEP_RUNNING, "host " + i + " has ended"));
      }
    }
  }

  private List<ObservedJob> jobs() {
    return callers.stream().flatMap(caller -> caller.jobs().stream()).toList();
  }

  private int pollOpenJobs(Runnable afterEachPoll) {
    int open = 0;
    for (SoakCaller caller : callers) {
      for (ObservedJob job : caller.jobs()) {
        if (job.isAccepted() && !job.hasEnded()) {
          caller.poll(job);
          afterEachPoll.run();
          open += job.hasEnded() ? 0 : 1;
        }
      }
    }
    return open;
  }

  private SoakResult check(SoakCluster cluster, List<Violation> violations) {
    InvariantChecks checks = new InvariantChecks(clock, plan, cluster.ledger());
    checks.checkWorkers();
    List<ObservedJob> jobs = jobs();
    jobs.forEach(checks::checkJob);
    clients.forEach(client -> checks.checkPlannedStops(client.results()));
    violations.addAll(checks.violations());
    Map<DisturbanceKind, Integer> counts = new EnumMap<>(DisturbanceKind.class);
    plan.disturbances().forEach(each -> counts.merge(each.kind(), 1, Integer::sum));
    return new SoakResult(
        settings.seed(),
        counts,
        clients.stream().mapToInt(client -> client.results().size()).sum(),
        (int) jobs.stream().filter(ObservedJob::isAccepted).count(),
        (int) jobs.stream().filter(ObservedJob::isRefused).count(),
        (int) jobs.stream().filter(job -> !job.isAccepted() && !job.isRefused()).count(),
        (int) jobs.stream().filter(job -> job.cancelledAtMs().isPresent()).count(),
        (int) cluster.ledger().events().stream().filter(event -> event.isStart()).count(),
        cluster.configurations().newestVersion(),
        violations);
  }
}
