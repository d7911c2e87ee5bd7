package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * Hosts are suspended for seconds. Their monotonic clocks do not count that time, but their wall
 * clocks do. A host that checks its term by the monotonic clock alone would, after waking, hold the
 * term beyond its expiry by the time of the suspension, and would start tasks that its successor
 * has already started.
 */
final class SuspendedHostsTest {
  private static final int LEASE_MS = 6000;
  private static final int SUSPENSION_MS = 1500;

  @Test
  void invariantsHoldWhileHostsAreSuspended() {
    int schedules = Integer.getInteger("wheatwall.schedules", 60);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.suspendHosts(12);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  // Steps that look like suspensions may cost term confirmations, but nothing else.
  @Test
  void invariantsHoldWhileWallClocksAreStepped() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.stepWallClocks(12);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  // A later decider would take it that more time has passed since the record was written than has.
  @Test
  void clocksInALeaseStopAreNotThoseOfBeforeASuspension() {
    VirtualTime time = new VirtualTime(1);
    SimulatedStore store = new SimulatedStore(time);
    SimulatedWorkers workers =
        new SimulatedWorkers(time, 2, 8, Optional.empty(), store::confirmedAtMs);
    SimulatedHost host =
        new SimulatedHost(
            time, "host", store, workers, new SimulatedPeers(time), LEASE_MS, Set.of());
    host.start();
    time.runFor(4000);
    host.batch()
        .submit(
            SimulatedJobs.singleTask(SimulatedJobs.id(1), 60_000, 1, 1, time.nowMs()),
            time.nowMs() + 2000);
    time.runFor(1000);
    String used = workers.ledger().events().get(0).worker();
    int usedIndex = workers.idOf(0).equals(used) ? 0 : 1;
    workers.cutOff(usedIndex, 60_000);
    time.runFor(1800);
    host.suspend(SUSPENSION_MS);
    Optional<LogContent.LeaseStop> stop = Optional.empty();
    for (int i = 0; i < 100 && stop.isEmpty(); i++) {
      time.runFor(100);
      stop = leaseStop(time, store, host);
    }
    long clockMs = workers.process(1 - usedIndex).clockMs(time.nowMs());
    stop.orElseThrow()
        .clocks()
        .forEach(clock -> assertThat(clock.clockMs()).isAtLeast(clockMs - SUSPENSION_MS / 2));
  }

  private static Optional<LogContent.LeaseStop> leaseStop(
      VirtualTime time, SimulatedStore store, SimulatedHost host) {
    CompletableFuture<KeyedLog.NewestPage> newest = store.logOf(host).newest(Optional.empty());
    time.runFor(100);
    return newest.join().records().stream()
        .map(KeyedLog.NewestRecord::record)
        .flatMap(record -> JobLogCodec.decode(record.key(), record.value()).stream())
        .flatMap(entry -> entry.content().stream())
        .filter(LogContent.LeaseStop.class::isInstance)
        .map(LogContent.LeaseStop.class::cast)
        .findFirst();
  }
}
