package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Jobs stood beside idle workers while a look at a long queue held the decision loop up. */
final class SlowProcessorsTest {
  private static final int BOOT_MS = 3000;
  private static final int STREAM_MS = 20_000;
  private static final int JOB_EACH_MS = 50;
  private static final int WORK_MS = 10_000;
  private static final int WAITING = 400;
  private static final int STORE_MS = 4;
  private static final int BUSY_STORE_MS = 60;
  private static final int SLOW_STORE_MS = 150;
  // A look at all that waits takes 8 ms, 0.4 s, 0.8 s and 1 s.
  private static final SimulatedProcessor.Costs QUICK = new SimulatedProcessor.Costs(30, 20);
  private static final SimulatedProcessor.Costs LAZY = new SimulatedProcessor.Costs(300, 1000);
  private static final SimulatedProcessor.Costs SLOW = new SimulatedProcessor.Costs(300, 2000);
  private static final SimulatedProcessor.Costs SLOWER = new SimulatedProcessor.Costs(300, 2500);

  @Test
  void jobsStartBesideALongQueueThatIsLookedAtQuickly() {
    play(QUICK, STORE_MS);
  }

  @Test
  void jobsStartBesideALongQueueThoughEachLookAtItTakesLong() {
    play(SLOW, STORE_MS);
  }

  @Test
  void startsAreNotWithdrawnBecauseAnswersOfWorkersWaitBehindALook() {
    play(LAZY, SLOW_STORE_MS);
  }

  @Test
  void jobsStartBesideALongQueueThoughTheStoreIsSlowAsWell() {
    play(SLOWER, BUSY_STORE_MS);
  }

  private static void play(SimulatedProcessor.Costs costs, int storeMs) {
    int schedules = Integer.getInteger("wheatwall.schedules", 2);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      play(seed, costs, storeMs);
    }
  }

  private static void play(long seed, SimulatedProcessor.Costs costs, int storeMs) {
    SlowCluster cluster = new SlowCluster(seed, costs);
    cluster.start();
    cluster.runFor(BOOT_MS);
    for (int i = 0; i < WAITING; i++) {
      cluster.submitHopelessLater(5L * i);
    }
    cluster.runFor(BOOT_MS);
    cluster.setStoreLatencyMs(storeMs);
    for (int atMs = 0; atMs < STREAM_MS; atMs += JOB_EACH_MS) {
      cluster.submitLater(atMs, WORK_MS);
    }
    cluster.watchFor(STREAM_MS + 2 * WORK_MS);
    assertWithMessage("seed " + seed).that(cluster.violations()).isEmpty();
    assertWithMessage("seed " + seed).that(cluster.lost()).isEmpty();
    assertWithMessage("seed " + seed).that(cluster.waitingTasks()).isEqualTo(WAITING);
  }
}
