package org.wheatwall.app.soak;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.wire.http.HttpCall;

/** A caller that hands in one job after the other, cancels some, and follows each to its end. */
final class SoakCaller implements Runnable {
  private static final int MAX_ATTEMPTS = 4;
  private static final int RETRY_MS = 200;
  private static final int POLL_INTERVAL_MS = 150;
  private static final int MAX_POLLS = 30;
  private static final int CANCELLED_ONE_IN = 7;
  private static final int FAILING_ONE_IN = 8;
  private static final int CRASHING_ONE_IN = 12;
  private static final int MAX_TASKS = 5;
  private static final int MAX_ACCELERATORS = 4;
  private static final int MIN_WORK_MS = 100;
  private static final int MAX_WORK_MS = 2500;

  private final int number;
  private final SoakClient client;
  private final int hosts;
  private final SplittableRandom random;
  private final SplittableRandom crashRandom;
  private final boolean hard;
  private final BooleanSupplier isRunning;
  private final ConcurrentLinkedQueue<ObservedJob> jobs = new ConcurrentLinkedQueue<>();

  /**
   * Creates a caller.
   *
   * @param number begins the identifiers of its jobs
   * @param goesOn whether to hand in another job
   */
  SoakCaller(int number, SoakClient client, SoakSettings settings, BooleanSupplier goesOn) {
    this.number = number;
    this.client = client;
    this.hosts = settings.hosts();
    this.random = new SplittableRandom(settings.seed() * 1000 + number);
    this.crashRandom = new SplittableRandom(~settings.seed() * 1000 + number);
    this.hard = settings.hard();
    this.isRunning = goesOn;
  }

  @Override
  public void run() {
    for (int i = 0; isRunning.getAsBoolean(); i++) {
      ObservedJob job = drawJob(i);
      jobs.add(job);
      submit(job);
      if (job.isAccepted()) {
        follow(job);
      }
    }
  }

  /** Returns the jobs that it has handed in, or tried to. */
  List<ObservedJob> jobs() {
    return List.copyOf(jobs);
  }

  /** Adds a job of which it is told. */
  void add(ObservedJob job) {
    jobs.add(job);
  }

  /** Asks any host for the state of a job. */
  void poll(ObservedJob job) {
    job.onStateResult(client.call(anyHost(), HttpCall.of("GET", path(job))));
  }

  private ObservedJob drawJob(int index) {
    int tasks = 1 + random.nextInt(MAX_TASKS);
    boolean gang = random.nextBoolean();
    int failing = random.nextInt(FAILING_ONE_IN) == 0 ? 1 : 0;
    TaskPlan plan =
        new TaskPlan(
            random.nextInt(MIN_WORK_MS, MAX_WORK_MS),
            gang ? tasks : 1,
            1 + random.nextInt(MAX_ACCELERATORS),
            failing);
    boolean crashes = hard && crashRandom.nextInt(CRASHING_ONE_IN) == 0;
    TaskPlan drawn = crashes ? plan.crashing() : plan;
    return new ObservedJob(String.format("%08x%08x", number, index), drawn, tasks);
  }

  /** Hands a job in, a few times if it is refused or not answered. */
  void submit(ObservedJob job) {
    for (int i = 0; i < MAX_ATTEMPTS && !job.isAccepted(); i++) {
      if (i > 0) {
        Pause.ms(RETRY_MS);
      }
      job.onSubmitResult(client.call(anyHost(), submission(job)));
    }
  }

  /** Returns the call that hands a job in. */
  static HttpCall submission(ObservedJob job) {
    TaskPlan plan = job.plan();
    boolean gang = plan.gang() > 1;
    byte[] body = PlatformDocuments.job(plan.text(), job.tasks(), plan.accelerators(), gang);
    return new HttpCall("POST", path(job), new DefaultHttpHeaders(), body);
  }

  private void follow(ObservedJob job) {
    boolean cancels = random.nextInt(CANCELLED_ONE_IN) == 0;
    for (int i = 0; i < MAX_POLLS && !job.hasEnded(); i++) {
      Pause.ms(POLL_INTERVAL_MS);
      if (cancels && job.cancelledAtMs().isEmpty()) {
        job.onCancelResult(client.call(anyHost(), HttpCall.of("DELETE", path(job))));
      }
      poll(job);
    }
  }

  private int anyHost() {
    return random.nextInt(hosts);
  }

  private static String path(ObservedJob job) {
    return PublishedConfigurations.JOB_PREFIX + job.id();
  }
}
