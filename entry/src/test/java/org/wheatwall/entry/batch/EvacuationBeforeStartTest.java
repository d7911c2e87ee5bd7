package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.LeaseStops;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;

/**
 * Guards against a start that is sent to an evacuated availability zone although it was decided on
 * before: each of the two last checks before the command is needed.
 */
final class EvacuationBeforeStartTest {
  private static final int LEASE_MS = 6000;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int FIRST_REPORT_MS = 100;
  private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);
  private static final Set<String> ZONE = Set.of("zone");

  private final VirtualTime time = new VirtualTime(11);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 1, 8, Optional.empty(), host -> time.nowMs());
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final SimulatedHost host =
      new SimulatedHost(time, "host", store, workers, peers, LEASE_MS, Set.of());
  private Optional<Set<String>> evacuatedZones = Optional.of(Set.of());
  private BatchDecider decider;

  @BeforeEach
  void startTerm() {
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
    TermRule rule = new TermRule(settings.term(), "host", "address", "life", clock.nowMs());
    rule.onClaimSent(clock.nowMs(), clock.leaseTimeMs());
    rule.onWon(1);
    BatchPorts ports =
        new BatchPorts(
            store.logOf(host),
            workers.portOf(host),
            workers.directoryOf(host),
            workers.permitsOf(host),
            peers.portOf(host),
            peers.reachabilityPortOf(host),
            () -> evacuatedZones);
    decider =
        new BatchDecider(
            settings,
            new BatchContext(
                Runnable::run, time::after, clock, new DecisionLog(clock), new MetricRegistry()),
            ports,
            rule,
            1,
            0,
            new RunTimeTracker(),
            () -> {});
    decider.begin(new JobTable(), new LeaseStops());
    ports.directory().open(decider);
    time.runFor(FIRST_REPORT_MS);
  }

  private void sendStart() {
    String worker = decider.supervisor().listedWorkers().get(0).id();
    String plan = new TaskPlan(1000, 1, 1, 0).text();
    decider.sendStart(new StartCommand(worker, TASK, 1, plan, "", Optional.empty()));
    time.runFor(FIRST_REPORT_MS);
  }

  private long startsSent() {
    return workers.ledger().events().stream().filter(TaskLedger.Event::isStart).count();
  }

  @Test
  void aStartIsSentIfNoZoneIsEvacuated() {
    sendStart();
    assertThat(startsSent()).isEqualTo(1);
  }

  // The check in WorkerCommands: the evacuation is applied already, but the start was decided on.
  @Test
  void aStartThatWasDecidedOnIsNotSentAfterTheEvacuationWasApplied() {
    evacuatedZones = Optional.of(ZONE);
    decider.updateEvacuations();
    sendStart();
    assertThat(startsSent()).isEqualTo(0);
  }

  // The fresh look in BatchDecider: the evacuation is known to this host, but not applied yet.
  @Test
  void aStartIsNotSentIfTheEvacuationBecameKnownAfterTheLastTick() {
    evacuatedZones = Optional.of(ZONE);
    sendStart();
    assertThat(startsSent()).isEqualTo(0);
  }

  @Test
  void aStartIsNotSentIfTheEvacuationsCeasedToBeKnown() {
    evacuatedZones = Optional.empty();
    sendStart();
    assertThat(startsSent()).isEqualTo(0);
  }
}
