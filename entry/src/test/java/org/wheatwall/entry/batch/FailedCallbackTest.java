package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;

/**
 * Guards against losing an exception thrown by the callback of a logged record. When that happened,
 * the start of the run was never sent and nothing was logged.
 */
final class FailedCallbackTest {
  private static final int LEASE_MS = 6000;
  private static final long NANOS_PER_MS = 1_000_000;

  private final VirtualTime time = new VirtualTime(11);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 1, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final SimulatedHost host =
      new SimulatedHost(time, "host", store, workers, peers, LEASE_MS, Set.of());
  private final List<Runnable> loop = new ArrayList<>();

  private BatchDecider decider() {
    Clock clock = new MachineClock(() -> time.nowMs() * NANOS_PER_MS, time::nowMs);
    BatchSettings settings =
        new BatchSettings(
            "host",
            "address",
            "zone",
            "peer",
            LEASE_MS,
            600_000,
            TermSettings.DEFAULT,
            Mechanisms.ALL);
    return new BatchDecider(
        settings,
        new BatchContext(
            loop::add, time::after, clock, new DecisionLog(clock), new MetricRegistry()),
        new BatchPorts(
            store.logOf(host),
            workers.portOf(host),
            workers.directoryOf(host),
            workers.permitsOf(host),
            peers.portOf(host),
            peers.reachabilityPortOf(host),
            () -> Optional.of(Set.of())),
        new TermRule(settings.term(), "host", "address", "life", clock.nowMs()),
        1,
        0,
        new RunTimeTracker(),
        () -> {});
  }

  @Test
  void exceptionIsRethrownOnTheDecisionLoop() {
    decider()
        .appendToLog(
            List.of(),
            () -> {
              throw new IllegalStateException("the command cannot be sent");
            });
    assertThat(loop).hasSize(1);
    assertThrows(IllegalStateException.class, () -> loop.get(0).run());
  }
}
