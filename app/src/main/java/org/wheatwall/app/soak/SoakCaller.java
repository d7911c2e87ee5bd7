package org.wheatwall.app.soak;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.wheatwall.standin.store.PlatformDocuments;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.wire.http.HttpCall;

/** A caller that submits jobs one after another, polls each until it ends, and cancels some. */
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
   * @param number prefix of the identifiers of its jobs
   * @param isRunning whether to submit another job
   */
  SoakCaller(int number, SoakClient client, SoakSettings settings, BooleanSupplier isRunning) {
    this.number = number;
    this.client = client;
    this.hosts = settings.hosts();
    this.random = new SplittableRandom(settings.seed() * 1000 + number);
    this.crashRandom = new SplittableRandom(~settings.seed() * 1000 + number);
    this.hard = settings.hard();
    this.isRunning = isRunning;
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

  /** Returns the jobs that it has submitted or tried to submit. */
  List<ObservedJob> jobs() {
    return List.copyOf(jobs);
  }

  /** Adds a job that this caller did not submit. */
  void add(ObservedJob job) {
    jobs.add(job);
  }

  /** Queries a random host for the state of a job. */
  void poll(ObservedJob job) {
    job.onStateResult(client.call(randomHost(), HttpCall.of("GET", job.path())));
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
    TaskPlan drawn = crashes ? plan.withWorkerCrash() : plan;
    return new ObservedJob(String.format("%08x%08x", number, index), drawn, tasks);
  }

  /** Submits a job, with a few retries if it is refused or gets no response. */
  void submit(ObservedJob job) {
    for (int i = 0; i < MAX_ATTEMPTS && !job.isAccepted(); i++) {
      if (i > 0) {
        Pause.ms(RETRY_MS);
      }
      job.onSubmitResult(client.call(randomHost(), submission(job)));
    }
  }

  /** Returns the call that submits a job. */
  static HttpCall submission(ObservedJob job) {
    TaskPlan plan = job.plan();
    boolean gang = plan.gangSize() > 1;
    byte[] body = PlatformDocuments.jobBody(plan.text(), job.tasks(), plan.accelerators(), gang);
    return new HttpCall("POST", job.path(), new DefaultHttpHeaders(), body);
  }

  private void follow(ObservedJob job) {
    boolean cancel = random.nextInt(CANCELLED_ONE_IN) == 0;
    for (int i = 0; i < MAX_POLLS && !job.hasEnded(); i++) {
      Pause.ms(POLL_INTERVAL_MS);
      if (cancel && job.cancelledAtMs().isEmpty()) {
        job.onCancelResult(client.call(randomHost(), HttpCall.of("DELETE", job.path())));
      }
      poll(job);
    }
  }

  private int randomHost() {
    return random.nextInt(hosts);
  }
}
