package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that wait beside idle workers because slow passes block the decision loop.
 */
final class SlowProcessorsTest {
  private static final int BOOT_MS = 3000;
  private static final int ARRIVALS_MS = 20_000;
  private static final int ARRIVAL_INTERVAL_MS = 50;
  private static final int WORK_MS = 10_000;
  private static final int INFEASIBLE_JOBS = 400;
  private static final int STORE_LATENCY_MS = 4;
  private static final int BUSY_STORE_LATENCY_MS = 60;
  private static final int SLOW_STORE_LATENCY_MS = 150;
  // Named after the time of a scheduling pass over all waiting jobs: 8 ms, 0.4 s, 0.8 s and 1 s.
  private static final SimulatedProcessor.Costs PASS_8_MS = new SimulatedProcessor.Costs(30, 20);
  private static final SimulatedProcessor.Costs PASS_400_MS =
      new SimulatedProcessor.Costs(300, 1000);
  private static final SimulatedProcessor.Costs PASS_800_MS =
      new SimulatedProcessor.Costs(300, 2000);
  private static final SimulatedProcessor.Costs PASS_1000_MS =
      new SimulatedProcessor.Costs(300, 2500);

  @Test
  void jobsStartBesideALongQueueIfPassesAreQuick() {
    run(PASS_8_MS, STORE_LATENCY_MS);
  }

  @Test
  void jobsStartBesideALongQueueIfPassesAreSlow() {
    run(PASS_800_MS, STORE_LATENCY_MS);
  }

  @Test
  void startsAreNotWithdrawnIfWorkerResponsesWaitForAPass() {
    run(PASS_400_MS, SLOW_STORE_LATENCY_MS);
  }

  @Test
  void jobsStartBesideALongQueueIfPassesAndTheStoreAreSlow() {
    run(PASS_1000_MS, BUSY_STORE_LATENCY_MS);
  }

  private static void run(SimulatedProcessor.Costs costs, int storeLatencyMs) {
    int schedules = Integer.getInteger("wheatwall.schedules", 2);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      run(seed, costs, storeLatencyMs);
    }
  }

  private static void run(long seed, SimulatedProcessor.Costs costs, int storeLatencyMs) {
    SlowCluster cluster = new SlowCluster(seed, costs);
    cluster.start();
    cluster.runFor(BOOT_MS);
    for (int i = 0; i < INFEASIBLE_JOBS; i++) {
      cluster.submitInfeasibleLater(5L * i);
    }
    cluster.runFor(BOOT_MS);
    cluster.setStoreLatencyMs(storeLatencyMs);
    for (int atMs = 0; atMs < ARRIVALS_MS; atMs += ARRIVAL_INTERVAL_MS) {
      cluster.submitLater(atMs, WORK_MS);
    }
    cluster.runCheckingFor(ARRIVALS_MS + 2 * WORK_MS);
    assertWithMessage("seed " + seed).that(cluster.violations()).isEmpty();
    assertWithMessage("seed " + seed).that(cluster.stuckJobs()).isEmpty();
    assertWithMessage("seed " + seed).that(cluster.waitingTasks()).isEqualTo(INFEASIBLE_JOBS);
  }
}
