package org.wheatwall.app.soak;

import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Submits jobs at random times, whether or not earlier ones have ended, and polls each until it
 * ends. The rate does not fall when the hosts become slow.
 */
final class OpenLoad implements Runnable {
  private static final int THREADS = 32;
  private static final int POLL_INTERVAL_MS = 1000;
  private static final int MS_PER_SECOND = 1000;
  // The callers that wait for their jobs have smaller numbers.
  private static final int FIRST_CALLER = 0x10000;

  private final SoakClient client;
  private final SoakSettings settings;
  private final BooleanSupplier isRunning;
  private final SplittableRandom random;
  private final ConcurrentLinkedQueue<SoakCaller> callers;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);

  /**
   * Creates a load; it is submitted by {@link #run}.
   *
   * @param callers where a caller is added for each job
   * @param isRunning whether to submit more jobs, and to poll those submitted
   */
  OpenLoad(
      SoakClient client,
      SoakSettings settings,
      ConcurrentLinkedQueue<SoakCaller> callers,
      BooleanSupplier isRunning) {
    this.client = client;
    this.settings = settings;
    this.callers = callers;
    this.isRunning = isRunning;
    this.random = new SplittableRandom(settings.seed() + FIRST_CALLER);
  }

  @Override
  public void run() {
    double meanGapMs = MS_PER_SECOND / settings.conditions().jobsPerSecond();
    double dueMs = RunClock.monotonicMs();
    for (int i = 0; isRunning.getAsBoolean(); i++) {
      dueMs -= meanGapMs * Math.log(1 - random.nextDouble());
      Pause.ms((long) (dueMs - RunClock.monotonicMs()));
      submitLater(FIRST_CALLER + i);
    }
    executor.shutdown();
  }

  private void submitLater(int number) {
    ObservedJob job = JobKind.draw(random).drawJob(String.format("%08x%08x", number, 0), random);
    SoakCaller caller = new SoakCaller(number, client, settings, isRunning);
    caller.add(job);
    callers.add(caller);
    executor.execute(
        () -> {
          caller.submit(job);
          pollLater(caller, job);
        });
  }

  private void pollLater(SoakCaller caller, ObservedJob job) {
    if (job.isAccepted() && !job.hasEnded() && isRunning.getAsBoolean()) {
      executor.schedule(
          () -> {
            caller.poll(job);
            pollLater(caller, job);
          },
          POLL_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Waits until the calls in flight have ended. */
  boolean awaitCalls(int limitMs) throws InterruptedException {
    return executor.awaitTermination(limitMs, TimeUnit.MILLISECONDS);
  }
}
