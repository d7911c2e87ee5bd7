package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.EndKind;

/**
 * Guards against tasks that are lost on workers that say they leave, because the leases there,
 * which are shorter, run out while the decider changes.
 */
final class DrainedWorkersAcrossTermsTest {
  private static final int HOSTS = 4;
  private static final int WORKERS = 8;
  private static final int DRAINED = 4;
  private static final int ACCELERATORS = 8;
  private static final int TASKS = 32;
  private static final int WORK_MS = 40_000;
  private static final int SEEDS = 20;
  private static final int DRAIN_MS = 15_000;
  private static final int RESTART_MS = 1000;

  private final List<SimulatedHost> hosts = new ArrayList<>();
  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;

  @Test
  void noTaskIsLostToALeaseOfSixSecondsOnAWorkerThatIsStillThere() {
    assertThat(lostTasks(6000)).isEqualTo(0);
  }

  @Test
  void noTaskIsLostToALeaseOfTenSecondsOnAWorkerThatIsStillThere() {
    assertThat(lostTasks(10_000)).isEqualTo(0);
  }

  // The number of runs that ended with their lease on workers that drained, over all seeds.
  private long lostTasks(int leaseMs) {
    long first = Long.getLong("wheatwall.seed", 1);
    int count = Integer.getInteger("wheatwall.schedules", SEEDS);
    long lost = 0;
    for (long seed = first; seed < first + count; seed++) {
      startHosts(seed, leaseMs);
      submitTasks();
      assertThat(workers.ledger().running()).hasSize(TASKS);
      for (int i = 0; i < DRAINED; i++) {
        workers.drain(i);
      }
      // Leases of full length that were given before the drain have run out by then.
      long killAfterMs = (long) leaseMs + time.random().nextInt(DRAIN_MS - leaseMs);
      time.after(killAfterMs, this::killTermHolder);
      time.runFor((long) DRAIN_MS + leaseMs);
      lost += lapsedRuns();
      assertThat(workers.ledger().violations()).isEmpty();
    }
    return lost;
  }

  private long lapsedRuns() {
    return workers.ledger().events().stream()
        .filter(event -> event.kind().equals(EndKind.LAPSED.toString()))
        .count();
  }

  private void startHosts(long seed, int leaseMs) {
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers =
        new SimulatedWorkers(time, WORKERS, ACCELERATORS, Optional.empty(), store::confirmedAtMs);
    SimulatedPeers peers = new SimulatedPeers(time);
    hosts.clear();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, leaseMs, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(3000);
  }

  private void submitTasks() {
    for (int i = 1; i <= TASKS; i++) {
      hosts
          .get(i % HOSTS)
          .batch()
          .submit(
              SimulatedJobs.singleTask(SimulatedJobs.id(i), WORK_MS, 2, 1, time.nowMs()),
              time.nowMs() + 2000);
    }
    time.runFor(2000);
  }

  private void killTermHolder() {
    SimulatedHost holder =
        hosts.stream()
            .filter(SimulatedHost::isAlive)
            .max(Comparator.comparingLong(store::confirmedAtMs))
            .orElseThrow();
    holder.kill();
    time.after(RESTART_MS, holder::start);
  }
}
