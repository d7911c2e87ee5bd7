package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Guards against tasks that a worker starts after their job was cancelled and that nobody stops: no
 * start is answered and each is carried out seconds later, on workers that are otherwise idle.
 */
final class LateStartSweepTest {
  private static final int HOSTS = 4;
  private static final int WORKERS = 8;
  private static final int ACCELERATORS = 8;
  private static final int JOBS = 4;
  private static final int SEEDS = 40;
  private static final int WORK_MS = 20_000;
  // Longer than most starts are late, so that the leases do not end what is not stopped.
  private static final int LEASE_MS = 10_000;
  private static final int SETTLING_MS = 3000;
  private static final int MAX_CUT_OFF_MS = 12_000;
  private static final int CALM_MS = 30_000;
  // Users allow 3 s and the time that the worker needs; a lost stop has to be sent again in time.
  private static final int MAX_RUN_MS = 2000;

  private final Map<String, Long> cancelledAtMs = new HashMap<>();
  private final Map<String, Long> backAtMs = new HashMap<>();
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;
  private int stoppedRuns;

  private void run(boolean holderIsGone, boolean workersAreCutOff) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed);
      workers.setLossProbability(1);
      for (int i = 1; i <= JOBS; i++) {
        hosts
            .get(0)
            .batch()
            .submit(
                SimulatedJobs.singleTask(SimulatedJobs.id(i), WORK_MS, 2, 1, time.nowMs()),
                time.nowMs() + 2000);
      }
      time.runFor(100L + time.random().nextInt(400));
      SimulatedHost holder =
          hosts.stream().max(Comparator.comparingLong(store::confirmedAtMs)).orElseThrow();
      if (holderIsGone) {
        holder.kill();
      }
      for (int i = 0; workersAreCutOff && i < WORKERS; i++) {
        int cutOffMs = 1000 + time.random().nextInt(MAX_CUT_OFF_MS);
        backAtMs.put(workers.process(i).id(), time.nowMs() + cutOffMs);
        workers.cutOff(i, cutOffMs);
      }
      cancelJobs(hosts.stream().filter(host -> host != holder).findFirst().orElseThrow());
      time.runFor(100L + time.random().nextInt(1500));
      workers.setLossProbability(0);
      time.runFor(CALM_MS);
      check(seed);
    }
  }

  private void startCluster(long seed) {
    hosts.clear();
    cancelledAtMs.clear();
    backAtMs.clear();
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers =
        new SimulatedWorkers(time, WORKERS, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
    SimulatedPeers peers = new SimulatedPeers(time);
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(SETTLING_MS);
  }

  private void cancelJobs(SimulatedHost host) {
    for (int i = 1; i <= JOBS; i++) {
      String id = SimulatedJobs.id(i);
      host.batch()
          .cancel(id, SimulatedJobs.ANY_OWNER, summary -> {}, time.nowMs() + 2000)
          .whenComplete(
              (known, failure) -> {
                if (failure == null && known) {
                  cancelledAtMs.put(id, time.nowMs());
                }
              });
    }
  }

  private void check(long seed) {
    assertWithMessage("seed " + seed).that(cancelledAtMs).hasSize(JOBS);
    assertWithMessage("seed " + seed).that(workers.ledger().running()).isEmpty();
    Map<String, Long> startedAtMs = new HashMap<>();
    for (TaskLedger.Event event : workers.ledger().events()) {
      String run = event.worker() + event.task() + event.run();
      if (event.isStart()) {
        startedAtMs.put(run, event.atMs());
        continue;
      }
      long sinceMs =
          Math.max(
              Math.max(startedAtMs.get(run), cancelledAtMs.get(event.task().jobId())),
              backAtMs.getOrDefault(event.worker(), 0L));
      stoppedRuns += event.atMs() > sinceMs ? 1 : 0;
      assertWithMessage("seed " + seed + " " + event)
          .that(event.atMs() - sinceMs)
          .isAtMost(MAX_RUN_MS);
    }
  }

  @Test
  void lateStartsOnIdleWorkersAreRefusedOrStopped() {
    run(false, false);
  }

  @Test
  void lateStartsOfADeciderThatIsGoneAreRefusedOrStopped() {
    run(true, false);
  }

  @Test
  void lateStartsOnWorkersThatWereCutOffAreStopped() {
    run(false, true);
    assertThat(stoppedRuns).isGreaterThan(SEEDS);
  }

  @Test
  void lateStartsOfADeciderThatIsGoneAreStoppedOnWorkersThatWereCutOff() {
    run(true, true);
    assertThat(stoppedRuns).isGreaterThan(SEEDS);
  }
}
