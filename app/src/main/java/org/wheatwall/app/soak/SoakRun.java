package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** One run: a cluster, callers, the disturbances of a seed, a calm end, and the checks. */
final class SoakRun {
  private static final int CALLERS = 10;
  private static final int FIRST_JOB_LIMIT_MS = 15_000;
  private static final int RECOVERY_LIMIT_MS = 15_000;
  // Workers that could not be reached are waited for, and what lapsed runs once more.
  private static final int DRAIN_LIMIT_MS = 45_000;
  // Leases of workers that were lost last have run out, and what they held has begun elsewhere.
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

  /** Carries the run out. */
  SoakResult run() {
    try (SoakCluster cluster = new SoakCluster(settings, clock);
        DisturbanceExecutor disturber = new DisturbanceExecutor(cluster, clock)) {
      List<Violation> violations = new ArrayList<>();
      RecoveryCheck recovery = new RecoveryCheck(cluster, settings, clock);
      recovery
          .failure(FIRST_JOB_LIMIT_MS)
          .map(seen -> new Violation(Invariant.RECOVERS, "before any disturbance: " + seen))
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
          .map(seen -> new Violation(Invariant.RECOVERS, "after the last disturbance: " + seen))
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
    StuckJobFinder standing = new StuckJobFinder(settings.workers(), SoakWorker.ACCELERATORS);
    long calmFromMs = plan.startMs() + settings.durationMs() + SETTLE_MS;
    long untilMs = clock.nowMs() + DRAIN_LIMIT_MS;
    Runnable look =
        () -> {
          if (clock.nowMs() >= calmFromMs) {
            standing.check(jobs(), cluster.ledger().events(), RunClock.monotonicMs());
          }
        };
    while (clock.nowMs() < untilMs && pollOpenJobs(look) > 0) {
      Pause.ms(POLL_INTERVAL_MS);
    }
    standing
        .found()
        .forEach(text -> violations.add(new Violation(Invariant.STARTS_WHERE_ROOM_IS, text)));
  }

  private List<ObservedJob> jobs() {
    return callers.stream().flatMap(caller -> caller.jobs().stream()).toList();
  }

  private int pollOpenJobs(Runnable afterEach) {
    int open = 0;
    for (SoakCaller caller : callers) {
      for (ObservedJob job : caller.jobs()) {
        if (job.isAccepted() && !job.hasEnded()) {
          caller.poll(job);
          afterEach.run();
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
