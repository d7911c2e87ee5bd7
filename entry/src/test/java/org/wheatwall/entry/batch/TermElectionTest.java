package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobMemory;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopExecutor;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.wire.batch.JobLogCodec;

/** Terms that a host has won, and its own records of them that it reads late. */
final class TermElectionTest {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int LEASE_MS = 6000;
  private static final int RETENTION_MS = 600_000;
  private static final int TICK_MS = 100;
  private static final int ELECTION_MS = 4000;
  private static final int TAKE_OVER_MS = 12_000;
  private static final String INCARNATION = "life";

  private final VirtualTime time = new VirtualTime(11);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 1, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final SimulatedHost host =
      new SimulatedHost(time, "host", store, workers, peers, LEASE_MS, Set.of());
  private TermElection election;
  private int urgentTaskRuns;

  private final class CountingLoop implements LoopExecutor {
    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public void runUrgentTasks() {
      urgentTaskRuns++;
    }
  }

  private void winTermAfterAnotherHost() {
    election.onTerm(
        new LogContent.Term("other", "other-address", "other-life", 0, false, Optional.empty()), 0);
    winTerm();
  }

  private void winTerm() {
    for (int elapsedMs = 0; elapsedMs < ELECTION_MS; elapsedMs += TICK_MS) {
      time.runFor(TICK_MS);
      election.tick(time.nowMs());
    }
    assertThat(election.decider().isPresent()).isTrue();
  }

  @BeforeEach
  void createElection() {
    Clock clock = new MachineClock(() -> time.nowMs() * NANOS_PER_MS, time::nowMs);
    DecisionLog decisions = new DecisionLog(clock);
    BatchContext context =
        new BatchContext(new CountingLoop(), time::after, clock, decisions, new MetricRegistry());
    BatchSettings settings =
        new BatchSettings(
            "host",
            "address",
            "zone",
            "peer",
            LEASE_MS,
            RETENTION_MS,
            TermSettings.DEFAULT,
            Mechanisms.ALL);
    BatchPorts ports =
        new BatchPorts(
            store.logOf(host),
            workers.portOf(host),
            workers.directoryOf(host),
            workers.permitsOf(host),
            peers.portOf(host),
            peers.reachabilityPortOf(host),
            () -> Optional.of(Set.of()));
    TermRule rule = new TermRule(settings.term(), "host", "address", INCARNATION, clock.nowMs());
    HostRoster roster = new HostRoster("host", new LogContent.Host("peer", "zone"), clock.nowMs());
    AdmissionControl admission = new AdmissionControl(SchedulingFeatures.NONE, context);
    JobReplica replica =
        new JobReplica(
            rule,
            roster,
            new RecordWaiters(time::after),
            admission,
            new JobMemoryLimit(new JobMemory(Long.MAX_VALUE), context),
            new UnknownCancellations(context),
            clock,
            decisions,
            new RunTimeTracker());
    election =
        new TermElection(
            settings,
            new TermElection.ProcessIdentity(INCARNATION, 7),
            context,
            ports,
            rule,
            replica,
            roster);
    replica.setListener(election);
    LogFollower follower =
        new LogFollower("jobs", ports.log(), Runnable::run, time::after, clock, () -> 0, replica);
    election.setFollower(follower);
    follower.start();
  }

  // A host with a short processor lists all workers in one task that outlasts its term.
  @Test
  void termCanBeRenewedAfterEachListedWorker() {
    winTerm();
    assertThat(urgentTaskRuns).isEqualTo(workers.count());
  }

  // Nothing has called the periodic task since the term was won, as behind a long queue of reports.
  @Test
  void termThatGoesRoundIsKeptWhileItsTakeOverDelaysThePeriodicTask() {
    winTermAfterAnotherHost();
    time.runFor(TAKE_OVER_MS);
    assertThat(election.decider().get().mayAct()).isTrue();
  }

  // The slow one of several hosts must not hold up the others.
  @Test
  void firstTermOfAHostThatIsLateIsLost() {
    winTerm();
    time.runFor(TAKE_OVER_MS);
    assertThat(election.decider().get().mayAct()).isFalse();
  }

  @Test
  void termOfAHostThatStaysBehindIsNotRenewed() {
    winTermAfterAnotherHost();
    time.runFor(2 * TAKE_OVER_MS);
    assertThat(election.decider().get().mayAct()).isFalse();
  }

  /**
   * The records of a second decider of one term would have the numbers of the first one's, and the
   * store would acknowledge them without keeping them.
   */
  @Test
  void claimThatIsReadAfterTheTermWasRefusedDoesNotBeginItAgain() {
    winTerm();
    long term = election.decider().get().number();
    election.decider().get().onFenced("worker");
    assertThat(election.decider().isPresent()).isFalse();
    LogContent.Term claim =
        new LogContent.Term("host", "address", INCARNATION, 0, false, Optional.empty());
    long offset = term - 1;
    assertThat(JobTable.termOfClaim(offset)).isEqualTo(term);
    election.onTerm(claim, offset);
    assertThat(election.decider().isPresent()).isFalse();
  }

  // A process that reads only the newest record of each key does not see the earlier term.
  @Test
  void recordOfATermTellsFromWhichOffsetLeaseStopsCount() {
    LogEntry earlierVersion =
        LogEntry.of(
            LogKey.TERM,
            new LogContent.Term(
                "other",
                "other-address",
                "other-life",
                0,
                false,
                Optional.empty(),
                OptionalInt.empty(),
                OptionalLong.empty()));
    KeyedRecord record =
        new KeyedRecord(LogKey.TERM.text(), JobLogCodec.encodeValue(earlierVersion));
    KeyedLog log = store.logOf(host);
    CompletableFuture<KeyedLog.Appended> appended =
        log.append(
            new KeyedLog.AppendCall(List.of(record, record), OptionalLong.empty(), "other", 1, 1));
    winTerm();
    CompletableFuture<KeyedLog.NewestPage> newest = log.newest(Optional.empty());
    time.runFor(TICK_MS);
    LogContent.Term term =
        newest.join().records().stream()
            .map(KeyedLog.NewestRecord::record)
            .filter(entry -> entry.key().equals(LogKey.TERM.text()))
            .flatMap(entry -> JobLogCodec.decode(entry.key(), entry.value()).stream())
            .flatMap(entry -> entry.content().stream())
            .map(LogContent.Term.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(term.holder()).isEqualTo("host");
    assertThat(term.leaseStopsFrom()).hasValue(appended.join().offset() + 1);
  }
}
