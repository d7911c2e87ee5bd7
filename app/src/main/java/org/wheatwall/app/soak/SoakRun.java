package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

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

  private final SoakSettings settings;
  private final DisturbancePlan plan;
  private final RunClock clock = new RunClock();
  private final AtomicBoolean running = new AtomicBoolean(true);
  private final List<SoakCaller> callers = new ArrayList<>();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();

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
      running.set(false);
      joinThreads();
      drain(cluster, violations);
      violations.addAll(probe.violations());
      return check(cluster, violations);
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
    threads.forEach(Thread::start);
  }

  private void startFaultInjection(Sabotage sabotage, SoakCluster cluster) {
    Thread thread =
        new Thread(
            new FaultInjection(
                sabotage, cluster, callers, newClient(cluster), clock, plan, settings),
            "sabotage");
    threads.add(thread);
    thread.start();
  }

  private void joinThreads() {
    try {
      for (Thread thread : threads) {
        thread.join(JOIN_LIMIT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void drain(SoakCluster cluster, List<Violation> violations) {
    StuckJobFinder stuckJobs = new StuckJobFinder(settings.workers(), SoakWorker.ACCELERATORS);
    long settledAtMs = plan.startMs() + settings.durationMs() + SETTLE_MS;
    long untilMs = clock.nowMs() + DRAIN_LIMIT_MS;
    Runnable checkStuckJobs =
        () -> {
          if (clock.nowMs() >= settledAtMs) {
            stuckJobs.check(jobs(), cluster.ledger().events(), RunClock.monotonicMs());
          }
        };
    while (clock.nowMs() < untilMs && pollOpenJobs(checkStuckJobs) > 0) {
      Pause.ms(POLL_INTERVAL_MS);
    }
    stuckJobs
        .found()
        .forEach(text -> violations.add(new Violation(Invariant.STARTS_WHERE_ROOM_IS, text)));
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
