package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A large gang waits for whole runners, on each of which a lasting task holds an accelerator. Small
 * jobs of a queue behind it have nothing running, although most of the service is idle.
 */
final class BlockedQueue {
  private static final int SMALL_JOBS = 4;
  private static final int RUNNERS = 8;
  private static final double IDLE_LIMIT_S = 3;
  private static final int SAMPLE_MS = 100;

  public static void main(String[] arguments) {
    Scenario.main(arguments, BlockedQueue::isBroken);
  }

  private static final Jobs.Step LASTING =
      new Jobs.Step(RUNNERS, 3700, 7600, 1, 2500, 2500, false, true, "", 1);
  private static final Jobs.Step LARGE =
      new Jobs.Step(7, 13_000, 26_000, 8, 11_000, 11_000, true, false, "", 0);
  private static final Jobs.Step SMALL =
      new Jobs.Step(2, 2800, 7400, 1, 6100, 2000, false, false, "", 0);

  private static boolean isBroken(Path recordFile, boolean trouble) throws Exception {
    try (Deployment deployment = new Deployment(recordFile, Runner.SOUND, "a", 1)) {
      Jobs.Job lasting = new Jobs.Job("5c0e7a21d94b0001", List.of(LASTING));
      deployment.submit(0, Platform.SWEEP, lasting);
      if (!deployment.awaitOpenRuns(lasting.id(), RUNNERS, 10_000)) {
        throw new IllegalStateException("the lasting tasks do not start");
      }
      if (trouble) {
        Jobs.Job large = new Jobs.Job("5c0e7a21d94b0002", List.of(LARGE));
        deployment.submit(1, Platform.SWEEP, large);
      }
      Http.sleep(1000);
      List<Jobs.Job> small = new ArrayList<>();
      for (int i = 0; i < SMALL_JOBS; i++) {
        Jobs.Job next = new Jobs.Job("5c0e7a21d94b001" + i, List.of(SMALL));
        small.add(next);
        deployment.submit(2, Platform.RECONCILE, next);
      }
      return watch(deployment, small);
    }
  }

  // Samples the room from the end of the traffic until finish_s later, when the clients ask.
  private static boolean watch(Deployment deployment, List<Jobs.Job> small) {
    Record record = deployment.record;
    double trafficEndsAt = record.seconds();
    int leastRoom = Integer.MAX_VALUE;
    double mostUsed = 0;
    while (record.seconds() < trafficEndsAt + Platform.FINISH_S) {
      leastRoom = Math.min(leastRoom, deployment.room(SMALL));
      mostUsed = Math.max(mostUsed, deployment.usedShare());
      Http.sleep(SAMPLE_MS);
    }
    record.line(
        "in the %.0f s after the traffic, %d or more small tasks had room, %.0f%% or less was used",
        Platform.FINISH_S, leastRoom, 100 * mostUsed);
    boolean hasRoom = leastRoom >= 2 * SMALL_JOBS * SMALL.count() && mostUsed < 0.5;
    boolean broken = false;
    for (Jobs.Job job : small) {
      deployment.client.get(deployment.daemons.get(0), Platform.RECONCILE, job.id());
      boolean idle = deployment.jobs.runsOf(job.id()).isEmpty();
      double idleSeconds = record.seconds() - trafficEndsAt;
      record.line(
          "job %s: %s",
          job.id(), idle ? "nothing running for " + Math.round(idleSeconds) + " s" : "has run");
      broken |= idle && idleSeconds > IDLE_LIMIT_S && hasRoom;
    }
    return broken;
  }
}
