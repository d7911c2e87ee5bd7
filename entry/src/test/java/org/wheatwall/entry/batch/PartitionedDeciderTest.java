package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a term holder that reaches the log but no workers and keeps the term, so that
 * nothing starts although every other host could decide.
 */
final class PartitionedDeciderTest {
  private static final int HOSTS = 4;
  private static final int WORKERS = 8;
  private static final int ACCELERATORS = 8;
  private static final int LEASE_MS = 6000;
  private static final int WORK_MS = 500;
  private static final int JOBS = 2 * WORKERS;
  private static final int LONG_PARTITION_MS = 30_000;
  private static final int MAX_START_DELAY_MS = 10_000;
  private static final int MAX_TERM_CHANGES = 3;

  private final VirtualTime time = new VirtualTime(11);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, WORKERS, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();

  @BeforeEach
  void start() {
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, LEASE_MS, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(3000);
  }

  private SimulatedHost termHolder() {
    return hosts.stream().max(Comparator.comparingLong(store::confirmedAtMs)).orElseThrow();
  }

  private SimulatedHost hostOtherThan(SimulatedHost host) {
    return hosts.stream().filter(other -> other != host).findFirst().orElseThrow();
  }

  private void submitJobs(SimulatedHost host) {
    for (int i = 0; i < JOBS; i++) {
      host.batch()
          .submit(
              SimulatedJobs.singleTask(
                  SimulatedJobs.id(i + 1), WORK_MS, ACCELERATORS, 1, time.nowMs()),
              time.nowMs() + 2000);
    }
  }

  private long startedTasks() {
    return workers.ledger().events().stream().filter(event -> event.isStart()).count();
  }

  @Test
  void jobsStartSoonIfTheTermHolderReachesNoWorker() {
    SimulatedHost partitionedHolder = termHolder();
    workers.setHostPartitioned(partitionedHolder, true);
    submitJobs(hostOtherThan(partitionedHolder));
    long partitionedAtMs = time.nowMs();
    while (startedTasks() < JOBS && time.nowMs() - partitionedAtMs < LONG_PARTITION_MS) {
      time.runFor(100);
    }
    long waitedMs = time.nowMs() - partitionedAtMs;
    assertWithMessage("jobs started after " + waitedMs + " ms")
        .that(startedTasks())
        .isEqualTo(JOBS);
    assertThat(waitedMs).isAtMost(MAX_START_DELAY_MS);
    assertThat(workers.ledger().violations()).isEmpty();
  }

  @Test
  void termRarelyChangesHandsIfNoHostReachesTheWorkers() {
    hosts.forEach(host -> workers.setHostPartitioned(host, true));
    submitJobs(hosts.get(0));
    SimulatedHost previousHolder = termHolder();
    int changes = 0;
    for (int elapsedMs = 0; elapsedMs < LONG_PARTITION_MS; elapsedMs += 100) {
      time.runFor(100);
      changes += termHolder() == previousHolder ? 0 : 1;
      previousHolder = termHolder();
    }
    assertThat(changes).isAtMost(MAX_TERM_CHANGES);
    hosts.forEach(host -> workers.setHostPartitioned(host, false));
    time.runFor(LONG_PARTITION_MS);
    assertThat(startedTasks()).isAtLeast(JOBS);
    assertThat(workers.ledger().violations()).isEmpty();
  }
}
