package org.wheatwall.app.soak;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.platform.store.StoreTopic;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.standin.store.StoreFaults;
import org.wheatwall.standin.task.TaskPlan;

/** Injects one fault into a run that has no other disturbances. */
final class FaultInjection implements Runnable {
  private static final int POLL_INTERVAL_MS = 20;
  private static final int START_AFTER_CANCEL_MS = 6000;
  private static final int LONG_WORK_MS = 20_000;
  private static final TaskPlan SMALL = new TaskPlan(1, 1, 1, 0);
  // Keeps a call that needs the store in flight until the process is killed.
  private static final int SLOW_STORE_MS = 2000;
  private static final int CALL_AFTER_MS = 100;
  private static final int KILL_AFTER_MS = 600;
  private static final int STOP_DURATION_MS = 2500;
  // Time until hosts act on the newest configuration and the probe has observed it.
  private static final int ACTIVATION_MS = 1500;
  // The fault is injected after a quarter of the run.
  private static final int FAULT_AT_DIVISOR = 4;

  private final Sabotage sabotage;
  private final SoakCluster cluster;
  private final List<SoakCaller> callers;
  private final SoakClient client;
  private final RunClock clock;
  private final DisturbancePlan plan;
  private final SoakSettings settings;

  FaultInjection(
      Sabotage sabotage,
      SoakCluster cluster,
      List<SoakCaller> callers,
      SoakClient client,
      RunClock clock,
      DisturbancePlan plan,
      SoakSettings settings) {
    this.sabotage = sabotage;
    this.cluster = cluster;
    this.callers = callers;
    this.client = client;
    this.clock = clock;
    this.plan = plan;
    this.settings = settings;
  }

  /**
   * Returns the plan of a run with an injected fault: empty, or the one disturbance that the fault
   * needs.
   */
  static DisturbancePlan planOf(Sabotage sabotage, SoakSettings settings) {
    if (sabotage != Sabotage.CUT_PLANNED_STOP) {
      return DisturbancePlan.empty();
    }
    long fromMs = settings.durationMs() / FAULT_AT_DIVISOR;
    return DisturbancePlan.of(
        List.of(
            new Disturbance(DisturbanceKind.HOST_STOPPED, 0, fromMs, fromMs + STOP_DURATION_MS)));
  }

  @Override
  public void run() {
    Pause.ms(plan.startMs() + settings.durationMs() / FAULT_AT_DIVISOR - clock.nowMs());
    switch (sabotage) {
      case LOSE_JOB -> loseJob();
      case RUN_TWICE -> runTwice();
      case RUN_REFUSED -> runRefused();
      case START_CANCELLED -> startCancelled();
      case OLDER_CONFIGURATION -> olderConfiguration();
      case CUT_PLANNED_STOP -> cutPlannedStop();
      case DEAF_WORKERS -> silenceWorkers();
    }
  }

  private void loseJob() {
    awaitJob(job -> job.isAccepted() && !job.hasEnded())
        .ifPresent(
            job -> cluster.store().put(StoreTopic.JOBS, LogKey.job(job.id()).text(), new byte[0]));
  }

  private void runTwice() {
    awaitJob(job -> job.isAccepted() && !job.cancelSent() && job.hasSucceeded())
        .ifPresent(job -> start(taskOf(job)));
  }

  private void runRefused() {
    ObservedJob refused = new ObservedJob("00000000deadbeef", SMALL, 1);
    long nowMs = clock.nowMs();
    refused.onSubmitResult(
        new CallResult(0, false, Optional.empty(), Optional.empty(), nowMs, nowMs));
    callers.get(0).add(refused);
    start(taskOf(refused));
  }

  private void startCancelled() {
    Optional<ObservedJob> found = awaitJob(job -> job.cancelledAtMs().isPresent());
    Pause.ms(START_AFTER_CANCEL_MS);
    found.ifPresent(job -> start(taskOf(job)));
  }

  private void olderConfiguration() {
    SoakHost host = cluster.host(0);
    cluster.configurations().publish();
    cluster.configurations().publish();
    // The host might not yet act on a later version when it is killed.
    cluster.configurations().stopPublishing();
    Pause.ms(ACTIVATION_MS);
    host.kill();
    cluster.configurations().overwriteWithOlder();
    host.startUncounted();
  }

  private void cutPlannedStop() {
    cluster.store().setFaults(new StoreFaults(StoreFaults.Mode.UP, SLOW_STORE_MS, 0, 0));
    Pause.ms(CALL_AFTER_MS);
    ObservedJob job = new ObservedJob("00000000cede0000", SMALL, 1);
    new Thread(() -> client.call(0, SoakCaller.submission(job)), "cut-call").start();
    Pause.ms(KILL_AFTER_MS);
    cluster.host(0).kill();
    cluster.store().setFaults(StoreFaults.NONE);
  }

  private void silenceWorkers() {
    for (int i = 0; i < settings.workers(); i++) {
      cluster.worker(i).link().setMode(FaultProxy.Mode.HALF_OPEN);
    }
  }

  private void start(TaskName task) {
    TaskPlan plan = new TaskPlan(LONG_WORK_MS, 1, 0, 0);
    cluster.worker(0).forceStart(task, plan);
  }

  private static TaskName taskOf(ObservedJob job) {
    return new TaskName(job.id(), 0, 0, 0);
  }

  private Optional<ObservedJob> awaitJob(Predicate<ObservedJob> condition) {
    long untilMs = plan.startMs() + settings.durationMs();
    while (clock.nowMs() < untilMs) {
      Optional<ObservedJob> found =
          callers.stream().flatMap(caller -> caller.jobs().stream()).filter(condition).findFirst();
      if (found.isPresent()) {
        return found;
      }
      Pause.ms(POLL_INTERVAL_MS);
    }
    return Optional.empty();
  }
}
