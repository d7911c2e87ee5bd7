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

/** Puts one fault in, some way into a run that is calm otherwise. */
final class SabotageAct implements Runnable {
  private static final int LOOK_EACH_MS = 20;
  private static final int LATE_MS = 6000;
  private static final int LONG_WORK_MS = 20_000;
  private static final TaskPlan SMALL = new TaskPlan(1, 1, 1, 0);
  // A call that needs the store is under way when the process is killed.
  private static final int SLOW_STORE_MS = 2000;
  private static final int CALL_AFTER_MS = 100;
  private static final int KILL_AFTER_MS = 600;
  private static final int STOP_LASTS_MS = 2500;
  // Until the newest configuration is in force, and was seen to be.
  private static final int IN_FORCE_MS = 1500;
  // The fault comes after this share of the run.
  private static final int SHARE = 4;

  private final Sabotage sabotage;
  private final SoakCluster cluster;
  private final List<SoakCaller> callers;
  private final SoakClient client;
  private final RunClock clock;
  private final DisturbancePlan plan;
  private final SoakSettings settings;

  SabotageAct(
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

  /** Returns the plan of a run with a fault put in: nothing else goes on but what it hides in. */
  static DisturbancePlan planOf(Sabotage sabotage, SoakSettings settings) {
    if (sabotage != Sabotage.CUT_PLANNED_STOP) {
      return DisturbancePlan.calm();
    }
    long fromMs = settings.durationMs() / SHARE;
    return DisturbancePlan.of(
        List.of(new Disturbance(DisturbanceKind.HOST_STOPPED, 0, fromMs, fromMs + STOP_LASTS_MS)));
  }

  @Override
  public void run() {
    Pause.ms(plan.startMs() + settings.durationMs() / SHARE - clock.nowMs());
    switch (sabotage) {
      case LOSE_JOB -> loseJob();
      case RUN_TWICE -> runTwice();
      case RUN_REFUSED -> runRefused();
      case START_CANCELLED -> startCancelled();
      case OLDER_CONFIGURATION -> olderConfiguration();
      case CUT_PLANNED_STOP -> cutPlannedStop();
      case DEAF_WORKERS -> deafWorkers();
    }
  }

  private void loseJob() {
    await(job -> job.accepted() && !job.ended())
        .ifPresent(
            job -> cluster.store().put(StoreTopic.JOBS, LogKey.job(job.id()).text(), new byte[0]));
  }

  private void runTwice() {
    await(job -> job.accepted() && !job.cancelSent() && job.succeeded())
        .ifPresent(job -> start(taskOf(job)));
  }

  private void runRefused() {
    JobFacts refused = new JobFacts("00000000deadbeef", SMALL, 1);
    long nowMs = clock.nowMs();
    refused.attempted(new CallerAnswer(0, false, Optional.empty(), Optional.empty(), nowMs, nowMs));
    callers.get(0).add(refused);
    start(taskOf(refused));
  }

  private void startCancelled() {
    Optional<JobFacts> found = await(job -> job.cancelledAtMs().isPresent());
    Pause.ms(LATE_MS);
    found.ifPresent(job -> start(taskOf(job)));
  }

  private void olderConfiguration() {
    SoakHost host = cluster.host(0);
    cluster.configurations().publish();
    cluster.configurations().publish();
    // A version that comes later might not be in force on the host when it is killed.
    cluster.configurations().stopPublishing();
    Pause.ms(IN_FORCE_MS);
    host.kill();
    cluster.configurations().putOlder();
    host.startQuietly();
  }

  private void cutPlannedStop() {
    cluster.store().setFaults(new StoreFaults(StoreFaults.Mode.UP, SLOW_STORE_MS, 0, 0));
    Pause.ms(CALL_AFTER_MS);
    JobFacts job = new JobFacts("00000000cede0000", SMALL, 1);
    new Thread(() -> client.call(0, SoakCaller.submission(job)), "cut-call").start();
    Pause.ms(KILL_AFTER_MS);
    cluster.host(0).kill();
    cluster.store().setFaults(StoreFaults.NONE);
  }

  private void deafWorkers() {
    for (int i = 0; i < settings.workers(); i++) {
      cluster.worker(i).link().setMode(FaultProxy.Mode.HALF_OPEN);
    }
  }

  private void start(TaskName task) {
    TaskPlan plan = new TaskPlan(LONG_WORK_MS, 1, 0, 0);
    cluster.worker(0).forceStart(task, plan);
  }

  private static TaskName taskOf(JobFacts job) {
    return new TaskName(job.id(), 0, 0, 0);
  }

  private Optional<JobFacts> await(Predicate<JobFacts> wanted) {
    long untilMs = plan.startMs() + settings.durationMs();
    while (clock.nowMs() < untilMs) {
      Optional<JobFacts> found =
          callers.stream().flatMap(caller -> caller.jobs().stream()).filter(wanted).findFirst();
      if (found.isPresent()) {
        return found;
      }
      Pause.ms(LOOK_EACH_MS);
    }
    return Optional.empty();
  }
}
