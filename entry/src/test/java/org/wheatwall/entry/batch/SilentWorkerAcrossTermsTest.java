package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Guards against work that stands beside idle workers because each new decider waits anew for the
 * leases at a worker that was silent long before.
 */
final class SilentWorkerAcrossTermsTest {
  private static final int HOSTS = 4;
  private static final int WORKERS = 8;
  private static final int ACCELERATORS = 8;
  private static final int WORK_MS = 3000;
  private static final int SEEDS = 20;
  private static final int TERM_CHANGES = 5;
  private static final int TERM_MS = 4000;
  private static final int RESTART_MS = 1000;
  private static final int NOTICED_AFTER_MS = 2000;
  // A holder is silent for 2.2 to 2.65 s before another claims the term, which waits for up to 1 s
  // for first reports.
  private static final int MAX_TIME_WITHOUT_DECISIONS_MS = 3700;
  private static final int SILENCE_MS = 60_000;
  private static final int SHORT_SILENCE_MS = 4500;
  private static final int LONG_WORK_MS = 12_000;

  private final List<SimulatedHost> hosts = new ArrayList<>();
  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;

  @Test
  void changesOfTheDeciderDoNotProlongTheWaitForLeasesOfSixSeconds() {
    checkSeeds(6000);
  }

  @Test
  void changesOfTheDeciderDoNotProlongTheWaitForLeasesOfTenSeconds() {
    checkSeeds(10_000);
  }

  // Leases are extended until some time after a worker falls silent, and as soon as it is back.
  @Test
  void runOnAWorkerThatIsCutOffForLessThanItsLeaseGoesOn() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      startHosts(seed, 6000);
      TaskLedger.Event start = startTask(LONG_WORK_MS);
      workers.cutOff(indexOf(start.worker()), SHORT_SILENCE_MS);
      time.runFor(2 * LONG_WORK_MS);
      assertWithMessage("seed " + seed).that(startsOf(start.task())).isEqualTo(1);
    }
  }

  private void checkSeeds(int leaseMs) {
    long first = Long.getLong("wheatwall.seed", 1);
    int count = Integer.getInteger("wheatwall.schedules", SEEDS);
    for (long seed = first; seed < first + count; seed++) {
      checkRestartOfLostTask(seed, leaseMs);
    }
  }

  private void checkRestartOfLostTask(long seed, int leaseMs) {
    startHosts(seed, leaseMs);
    TaskLedger.Event lost = startTask(WORK_MS);
    int worker = indexOf(lost.worker());
    workers.cutOff(worker, SILENCE_MS);
    long silentSinceMs = time.nowMs();
    for (int i = 1; i <= TERM_CHANGES; i++) {
      time.after((long) i * TERM_MS, this::killTermHolder);
    }
    int expiryMs = SupervisorSettings.of(leaseMs, 60_000).leaseExpiryMs();
    time.runFor(NOTICED_AFTER_MS + expiryMs + MAX_TIME_WITHOUT_DECISIONS_MS);
    assertWithMessage("seed " + seed + ", runs of the task that was lost")
        .that(startsOf(lost.task()))
        .isAtLeast(2);
    assertThat(time.nowMs() - silentSinceMs).isAtMost((long) TERM_CHANGES * TERM_MS);
    time.runFor(SILENCE_MS);
    assertWithMessage("seed " + seed).that(workers.ledger().violations()).isEmpty();
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

  private TaskLedger.Event startTask(int workMs) {
    hosts
        .get(0)
        .batch()
        .submit(
            SimulatedJobs.singleTask(SimulatedJobs.id(1), workMs, ACCELERATORS, 1, time.nowMs()),
            time.nowMs() + 2000);
    time.runFor(1000);
    return workers.ledger().events().stream()
        .filter(TaskLedger.Event::isStart)
        .findFirst()
        .orElseThrow();
  }

  private int indexOf(String worker) {
    for (int i = 0; i < WORKERS; i++) {
      if (workers.idOf(i).equals(worker)) {
        return i;
      }
    }
    throw new AssertionError("no worker " + worker);
  }

  private long startsOf(TaskName task) {
    return workers.ledger().events().stream()
        .filter(event -> event.isStart() && event.task().equals(task))
        .count();
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
