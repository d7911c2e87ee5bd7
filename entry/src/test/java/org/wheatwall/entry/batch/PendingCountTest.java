package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that leave out jobs whose starts were refused when they count the pending.
 */
final class PendingCountTest {
  private static final int HOSTS = 3;
  private static final int WORKERS = 2;
  private static final int JOBS = 4;
  private static final int WORK_MS = 30_000;
  private static final int VISIBLE_MS = 4000;
  private static final int SAMPLE_INTERVAL_MS = 50;
  private static final int REFUSING_MS = 20_000;
  private static final int STORE_LATENCY_MS = 20;
  // The longest delay of starts on a worker, and the calls after it.
  private static final int START_DELAY_MS = 4000;
  // Callers may be given a count that is 2 s old.
  private static final int MAX_COUNT_AGE_MS = 1900;

  private final VirtualTime time = new VirtualTime(3);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, WORKERS, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();

  private void startHosts() {
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, 6000, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(3000);
    store.setLatencyMs(STORE_LATENCY_MS);
  }

  private void submitJobs() {
    for (int i = 0; i < JOBS; i++) {
      hosts
          .get(i % HOSTS)
          .batch()
          .submit(
              SimulatedJobs.singleTask(SimulatedJobs.id(i), WORK_MS, 1, 0, time.nowMs()),
              time.nowMs() + 2000);
    }
  }

  private List<Integer> pendingJobs() {
    List<Integer> counts = new ArrayList<>();
    hosts.forEach(host -> host.batch().pendingJobs("queue").thenAccept(counts::add));
    time.runFor(1);
    assertThat(counts).hasSize(HOSTS);
    return counts;
  }

  @Test
  void jobsAreCountedWhileEveryWorkerRefusesTheirStarts() {
    startHosts();
    workers.setRefusing(true);
    submitJobs();
    time.runFor(VISIBLE_MS);
    int samples = 0;
    int tooLow = 0;
    for (int passedMs = 0; passedMs < REFUSING_MS; passedMs += SAMPLE_INTERVAL_MS) {
      for (int count : pendingJobs()) {
        samples++;
        tooLow += 2 * count < JOBS ? 1 : 0;
      }
      time.runFor(SAMPLE_INTERVAL_MS - 1);
    }
    assertThat(workers.ledger().events()).isEmpty();
    assertWithMessage("counts under half of the jobs, of " + samples).that(tooLow).isEqualTo(0);
  }

  @Test
  void jobsAreNotCountedOnceTheirStartsSucceed() {
    startHosts();
    workers.setRefusing(true);
    submitJobs();
    time.runFor(VISIBLE_MS);
    workers.setRefusing(false);
    for (int ms = 0; ms < START_DELAY_MS && workers.ledger().events().size() < JOBS; ms++) {
      time.runFor(1);
    }
    assertThat(workers.ledger().events()).hasSize(JOBS);
    time.runFor(MAX_COUNT_AGE_MS);
    assertThat(pendingJobs()).containsExactly(0, 0, 0);
  }
}
