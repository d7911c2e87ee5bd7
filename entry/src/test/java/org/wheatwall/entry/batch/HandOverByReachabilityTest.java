package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a term that stays with, or passes to, a host that reaches the job log but hardly
 * any worker, while other hosts reach all of them.
 */
final class HandOverByReachabilityTest {
  private static final int WORKERS = 81;
  private static final int ZONES = 3;
  private static final int ACCELERATORS = 8;
  private static final int LEASE_MS = 6000;
  private static final int WORK_MS = 500;
  private static final int JOB_INTERVAL_MS = 50;
  private static final int SETTLING_MS = 4000;
  private static final int PARTITION_MS = 30_000;
  private static final int MAX_HAND_OVER_MS = 3000;
  private static final int SEEDS = 10;

  private final List<SimulatedHost> hosts = new ArrayList<>();
  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;
  private SimulatedPeers peers;
  private int jobs;

  private void startCluster(long seed, int hostCount) {
    hosts.clear();
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers =
        new SimulatedWorkers(
            time, WORKERS, ZONES, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
    peers = new SimulatedPeers(time);
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(SETTLING_MS);
    submitPeriodically();
    time.runFor(SETTLING_MS);
  }

  private void submitPeriodically() {
    SimulatedHost host = hosts.get(time.random().nextInt(hosts.size()));
    host.batch()
        .submit(
            SimulatedJobs.singleTask(SimulatedJobs.id(++jobs), WORK_MS, 1, 1, time.nowMs()),
            time.nowMs() + 2000);
    time.after(JOB_INTERVAL_MS, this::submitPeriodically);
  }

  private SimulatedHost termHolder() {
    return hosts.stream().max(Comparator.comparingLong(store::confirmedAtMs)).orElseThrow();
  }

  private long startedTasks() {
    return workers.ledger().events().stream().filter(event -> event.isStart()).count();
  }

  private void blockAllPathsBut(SimulatedHost host, int reachableWorker) {
    for (int i = 0; i < WORKERS; i++) {
      workers.setPathBlocked(host, i, i != reachableWorker);
    }
  }

  private void flap(SimulatedHost host, int worker, boolean isBlocked, int periodMs, long endMs) {
    workers.setPathBlocked(host, worker, isBlocked);
    if (time.nowMs() < endMs) {
      time.after(periodMs, () -> flap(host, worker, !isBlocked, periodMs, endMs));
    }
  }

  // Returns the milliseconds until another host holds the term.
  private long awaitHandOver(SimulatedHost holder) {
    long startMs = time.nowMs();
    while (termHolder() == holder && time.nowMs() - startMs < PARTITION_MS) {
      time.runFor(50);
    }
    return time.nowMs() - startMs;
  }

  @Test
  void oneReachableWorkerDoesNotKeepTheTerm() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed, 4);
      SimulatedHost holder = termHolder();
      blockAllPathsBut(holder, 0);
      assertWithMessage("seed " + seed).that(awaitHandOver(holder)).isAtMost(MAX_HAND_OVER_MS);
      assertThat(workers.ledger().violations()).isEmpty();
    }
  }

  @Test
  void oneFlappingWorkerDoesNotKeepTheTerm() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed, 4);
      SimulatedHost holder = termHolder();
      blockAllPathsBut(holder, 0);
      flap(holder, 0, true, 100 + 60 * seed, time.nowMs() + PARTITION_MS);
      assertWithMessage("seed " + seed).that(awaitHandOver(holder)).isAtMost(MAX_HAND_OVER_MS);
      assertThat(workers.ledger().violations()).isEmpty();
    }
  }

  @Test
  void theTermPassesToAHostThatReachesTheWorkers() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startCluster(seed, 10);
      SimulatedHost holder = termHolder();
      List<SimulatedHost> reaching = new ArrayList<>(hosts);
      reaching.remove(holder);
      reaching.subList(0, 7).clear();
      hosts.stream()
          .filter(host -> !reaching.contains(host))
          .forEach(host -> blockAllPathsBut(host, 0));
      assertWithMessage("seed " + seed).that(awaitHandOver(holder)).isAtMost(MAX_HAND_OVER_MS);
      assertWithMessage("seed " + seed).that(reaching).contains(termHolder());
      long startedBefore = startedTasks();
      time.runFor(MAX_HAND_OVER_MS);
      assertWithMessage("seed " + seed).that(startedTasks() - startedBefore).isAtLeast(20);
      assertThat(workers.ledger().violations()).isEmpty();
    }
  }

  // Two hand-overs within half a minute suffice if reachability changes during the first.
  @Test
  void theTermStaysIfEveryHostReachesADifferentHalf() {
    startCluster(1, 6);
    for (int i = 0; i < hosts.size(); i++) {
      for (int worker = 0; worker < WORKERS; worker++) {
        workers.setPathBlocked(hosts.get(i), worker, (worker + i) % 2 == 0);
      }
    }
    SimulatedHost previous = termHolder();
    int changes = 0;
    for (int elapsedMs = 0; elapsedMs < PARTITION_MS; elapsedMs += 100) {
      time.runFor(100);
      changes += termHolder() == previous ? 0 : 1;
      previous = termHolder();
    }
    assertThat(changes).isAtMost(2);
    assertThat(workers.ledger().violations()).isEmpty();
  }
}
