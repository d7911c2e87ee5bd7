package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** One run: a cluster, callers, the disturbances of a seed, a calm end, and the checks. */
final class SoakRun {
  private static final int CALLERS = 10;
  private static final int FIRST_JOB_MS = 15_000;
  private static final int RECOVERY_MS = 15_000;
  // Workers that could not be reached are waited for, and what lapsed runs once more.
  private static final int DRAIN_MS = 45_000;
  // Leases of workers that were lost last have run out, and what they held has begun elsewhere.
  private static final int CALM_MS = 14_000;
  private static final int ASK_EACH_MS = 100;
  private static final int JOIN_MS = 30_000;

  private final SoakSettings settings;
  private final DisturbancePlan plan;
  private final RunClock clock = new RunClock();
  private final AtomicBoolean goesOn = new AtomicBoolean(true);
  private final List<SoakCaller> callers = new ArrayList<>();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();

  SoakRun(SoakSettings settings) {
    this.settings = settings;
    this.plan =
        settings
            .sabotage()
            .map(sabotage -> SabotageAct.planOf(sabotage, settings))
            .orElseGet(() -> DisturbancePlan.draw(settings));
  }

  /** Carries the run out. */
  SoakResult run() {
    try (SoakCluster cluster = new SoakCluster(settings, clock);
        Disturber disturber = new Disturber(cluster, clock)) {
      List<Violation> violations = new ArrayList<>();
      RecoveryCheck recovery = new RecoveryCheck(cluster, settings, clock);
      recovery
          .failure(FIRST_JOB_MS)
          .map(seen -> new Violation(Promise.RECOVERS, "before any disturbance: " + seen))
          .ifPresent(violations::add);
      plan.shiftTo(clock.nowMs());
      ConfigurationProbe probe =
          new ConfigurationProbe(cluster, newClient(cluster), plan, settings, goesOn::get);
      startThreads(cluster, probe);
      disturber.carryOut(plan);
      settings.sabotage().ifPresent(sabotage -> sabotage(sabotage, cluster));
      Pause.ms(plan.startMs() + settings.durationMs() - clock.nowMs());
      recovery
          .failure(RECOVERY_MS)
          .map(seen -> new Violation(Promise.RECOVERS, "after the last disturbance: " + seen))
          .ifPresent(violations::add);
      goesOn.set(false);
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
      callers.add(new SoakCaller(i + 1, newClient(cluster), settings, goesOn::get));
    }
    threads.add(new Thread(probe, "configuration-probe"));
    callers.forEach(caller -> threads.add(new Thread(caller, "caller")));
    threads.forEach(Thread::start);
  }

  private void sabotage(Sabotage sabotage, SoakCluster cluster) {
    Thread thread =
        new Thread(
            new SabotageAct(sabotage, cluster, callers, newClient(cluster), clock, plan, settings),
            "sabotage");
    threads.add(thread);
    thread.start();
  }

  private void joinThreads() {
    try {
      for (Thread thread : threads) {
        thread.join(JOIN_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void drain(SoakCluster cluster, List<Violation> violations) {
    StandingJobs standing = new StandingJobs(settings.workers(), SoakWorker.ACCELERATORS);
    long calmFromMs = plan.startMs() + settings.durationMs() + CALM_MS;
    long untilMs = clock.nowMs() + DRAIN_MS;
    Runnable look =
        () -> {
          if (clock.nowMs() >= calmFromMs) {
            standing.look(jobs(), cluster.ledger().events(), RunClock.steadyMs());
          }
        };
    while (clock.nowMs() < untilMs && askOpenJobs(look) > 0) {
      Pause.ms(ASK_EACH_MS);
    }
    standing
        .found()
        .forEach(text -> violations.add(new Violation(Promise.STARTS_WHERE_ROOM_IS, text)));
  }

  private List<JobFacts> jobs() {
    return callers.stream().flatMap(caller -> caller.jobs().stream()).toList();
  }

  private int askOpenJobs(Runnable afterEach) {
    int open = 0;
    for (SoakCaller caller : callers) {
      for (JobFacts job : caller.jobs()) {
        if (job.accepted() && !job.ended()) {
          caller.ask(job);
          afterEach.run();
          open += job.ended() ? 0 : 1;
        }
      }
    }
    return open;
  }

  private SoakResult check(SoakCluster cluster, List<Violation> violations) {
    PromiseChecks checks = new PromiseChecks(clock, plan, cluster.ledger());
    checks.checkWorkers();
    List<JobFacts> jobs = jobs();
    jobs.forEach(checks::checkJob);
    clients.forEach(client -> checks.checkPlannedStops(client.answers()));
    violations.addAll(checks.found());
    Map<DisturbanceKind, Integer> counts = new EnumMap<>(DisturbanceKind.class);
    plan.disturbances().forEach(each -> counts.merge(each.kind(), 1, Integer::sum));
    return new SoakResult(
        settings.seed(),
        counts,
        clients.stream().mapToInt(client -> client.answers().size()).sum(),
        (int) jobs.stream().filter(JobFacts::accepted).count(),
        (int) jobs.stream().filter(JobFacts::refused).count(),
        (int) jobs.stream().filter(job -> !job.accepted() && !job.refused()).count(),
        (int) jobs.stream().filter(job -> job.cancelledAtMs().isPresent()).count(),
        (int) cluster.ledger().events().stream().filter(event -> event.isStart()).count(),
        cluster.configurations().newest(),
        violations);
  }
}
