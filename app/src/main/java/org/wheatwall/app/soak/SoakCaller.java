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
  private static final int MOST_ATTEMPTS = 4;
  private static final int RETRY_MS = 200;
  private static final int ASK_EACH_MS = 150;
  private static final int ASKS_BEFORE_NEXT = 30;
  private static final int ONE_CANCELLED_IN = 7;
  private static final int ONE_FAILING_IN = 8;
  private static final int ONE_CRASHING_IN = 12;
  private static final int MOST_TASKS = 5;
  private static final int MOST_ACCELERATORS = 4;
  private static final int SHORTEST_WORK_MS = 100;
  private static final int LONGEST_WORK_MS = 2500;

  private final int number;
  private final SoakClient client;
  private final int hosts;
  private final SplittableRandom random;
  private final SplittableRandom crashing;
  private final boolean hard;
  private final BooleanSupplier goesOn;
  private final ConcurrentLinkedQueue<JobFacts> jobs = new ConcurrentLinkedQueue<>();

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
    this.crashing = new SplittableRandom(~settings.seed() * 1000 + number);
    this.hard = settings.hard();
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    for (int i = 0; goesOn.getAsBoolean(); i++) {
      JobFacts job = draw(i);
      jobs.add(job);
      submit(job);
      if (job.accepted()) {
        follow(job);
      }
    }
  }

  /** Returns the jobs that it has handed in, or tried to. */
  List<JobFacts> jobs() {
    return List.copyOf(jobs);
  }

  /** Adds a job of which it is told. */
  void add(JobFacts job) {
    jobs.add(job);
  }

  /** Asks any host for the state of a job. */
  void ask(JobFacts job) {
    job.told(client.call(anyHost(), HttpCall.of("GET", path(job))));
  }

  private JobFacts draw(int index) {
    int tasks = 1 + random.nextInt(MOST_TASKS);
    boolean gang = random.nextBoolean();
    int failing = random.nextInt(ONE_FAILING_IN) == 0 ? 1 : 0;
    TaskPlan plan =
        new TaskPlan(
            random.nextInt(SHORTEST_WORK_MS, LONGEST_WORK_MS),
            gang ? tasks : 1,
            1 + random.nextInt(MOST_ACCELERATORS),
            failing);
    boolean crashes = hard && crashing.nextInt(ONE_CRASHING_IN) == 0;
    TaskPlan drawn = crashes ? plan.withWorkerCrash() : plan;
    return new JobFacts(String.format("%08x%08x", number, index), drawn, tasks);
  }

  /** Hands a job in, a few times if it is refused or not answered. */
  void submit(JobFacts job) {
    for (int i = 0; i < MOST_ATTEMPTS && !job.accepted(); i++) {
      if (i > 0) {
        Pause.ms(RETRY_MS);
      }
      job.attempted(client.call(anyHost(), submission(job)));
    }
  }

  /** Returns the call that hands a job in. */
  static HttpCall submission(JobFacts job) {
    TaskPlan plan = job.plan();
    boolean gang = plan.gangSize() > 1;
    byte[] body = PlatformDocuments.jobBody(plan.text(), job.tasks(), plan.accelerators(), gang);
    return new HttpCall("POST", path(job), new DefaultHttpHeaders(), body);
  }

  private void follow(JobFacts job) {
    boolean cancels = random.nextInt(ONE_CANCELLED_IN) == 0;
    for (int i = 0; i < ASKS_BEFORE_NEXT && !job.ended(); i++) {
      Pause.ms(ASK_EACH_MS);
      if (cancels && job.cancelledAtMs().isEmpty()) {
        job.cancelAsked(client.call(anyHost(), HttpCall.of("DELETE", path(job))));
      }
      ask(job);
    }
  }

  private int anyHost() {
    return random.nextInt(hosts);
  }

  private static String path(JobFacts job) {
    return PublishedConfigurations.JOB_PREFIX + job.id();
  }
}
