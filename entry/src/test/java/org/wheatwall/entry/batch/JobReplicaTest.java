package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobMemory;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopExecutor;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * Guards against lease stops in the log that a host does not know, so that it waits anew for the
 * leases at a silent worker, and against such that it believes although they count no more, so that
 * it starts a task beside its earlier run.
 */
final class JobReplicaTest {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int RETENTION_MS = 60_000;
  private static final int LEASE_MS = 6000;
  private static final String WORKER = "w..1000";
  private static final GroupKey GROUP = new GroupKey(SimulatedJobs.id(1), 0, 0, 0);
  private static final LogEntry STOP =
      LogEntry.of(LogKey.leaseStop(WORKER), new LogContent.LeaseStop(500, List.of()));

  private final VirtualTime time = new VirtualTime(1);
  private JobReplica replica;

  private static final class NoListener implements JobReplica.Listener {
    @Override
    public void onJob(BatchJob job) {}

    @Override
    public void onDefinitionHidden(LogContent.Definition hidden) {}

    @Override
    public void onCancellation(String jobId) {}

    @Override
    public void onTerm(LogContent.Term term, long offset) {}

    @Override
    public void onReset() {}
  }

  /** Acknowledges appends at once and sends nothing. */
  private static final class AcknowledgedEffects implements RunEffects {
    @Override
    public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
      onAcknowledged.run();
    }

    @Override
    public void sendStart(StartCommand command) {}

    @Override
    public void sendStop(StopCommand command) {}

    @Override
    public void requestReport(String worker) {}

    @Override
    public void requestPermits(PermitRequest request) {}

    @Override
    public void logDecision(RunEvent event) {}
  }

  @BeforeEach
  void createReplica() {
    Clock clock = new MachineClock(() -> time.nowMs() * NANOS_PER_MS, time::nowMs);
    DecisionLog decisions = new DecisionLog(clock);
    LoopExecutor loop = Runnable::run;
    BatchContext context =
        new BatchContext(loop, time::after, clock, decisions, new MetricRegistry());
    replica =
        new JobReplica(
            new TermRule(TermSettings.DEFAULT, "host", "address", "process", clock.nowMs()),
            new HostRoster("host", new LogContent.Host("peer", "zone"), clock.nowMs()),
            new RecordWaiters(time::after),
            new AdmissionControl(SchedulingFeatures.NONE, context),
            new JobMemoryLimit(new JobMemory(Long.MAX_VALUE), context),
            new UnknownCancellations(context),
            clock,
            decisions,
            new RunTimeTracker());
    replica.setListener(new NoListener());
  }

  private static KeyedRecord record(LogEntry entry) {
    return new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry));
  }

  private static KeyedLog.NewestRecord newest(LogEntry entry, long offset) {
    return new KeyedLog.NewestRecord(record(entry), offset);
  }

  // A job with a run on the worker.
  private List<KeyedLog.NewestRecord> run() {
    BatchJob job = SimulatedJobs.singleTask(GROUP.jobId(), 1000, 1, 0, time.nowMs());
    GroupState state = GroupState.NEW.withRunStarted(List.of(WORKER));
    return List.of(
        newest(LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)), 0),
        newest(LogEntry.of(LogKey.group(GROUP), new LogContent.Group(state)), 1));
  }

  private List<KeyedLog.NewestRecord> runAnd(LogEntry entry, long offset) {
    return Stream.concat(run().stream(), Stream.of(newest(entry, offset))).toList();
  }

  // Whether a decider that begins now relies on it that no lease was extended.
  private boolean isStopKnown() {
    RunSupervisor supervisor =
        new RunSupervisor(
            SupervisorSettings.of(LEASE_MS, RETENTION_MS),
            SchedulerSettings.DEFAULT,
            new AcknowledgedEffects(),
            2,
            time.nowMs(),
            0);
    supervisor.adopt(replica.table(), replica.leaseStops(), time.nowMs(), time.nowMs());
    return !supervisor.mayExtendLeases(WORKER);
  }

  private static LogEntry termOfAnEarlierVersion() {
    return LogEntry.of(
        LogKey.TERM,
        new LogContent.Term(
            "other",
            "other-address",
            "other-process",
            0,
            false,
            Optional.empty(),
            OptionalInt.empty(),
            OptionalLong.empty()));
  }

  @Test
  void stopAmongTheNewestRecordsIsKnown() {
    replica.onReset(runAnd(STOP, 2));
    assertThat(isStopKnown()).isTrue();
  }

  @Test
  void stopThatIsReadLaterIsKnown() {
    replica.onReset(run());
    assertThat(isStopKnown()).isFalse();
    replica.onRecord(record(STOP), 2);
    assertThat(isStopKnown()).isTrue();
  }

  @Test
  void stopThatWasDroppedDoesNotCount() {
    replica.onReset(runAnd(STOP, 2));
    replica.onRecord(record(LogEntry.tombstone(STOP.key())), 3);
    assertThat(isStopKnown()).isFalse();
  }

  // It was dropped while this host did not read the log.
  @Test
  void stopThatIsNotAmongTheNewestRecordsAnyMoreDoesNotCount() {
    replica.onReset(runAnd(STOP, 2));
    replica.onReset(run());
    assertThat(isStopKnown()).isFalse();
  }

  // Its holder extends leases whatever the records say.
  @Test
  void stopBeforeATermOfAnEarlierVersionDoesNotCount() {
    replica.onReset(runAnd(STOP, 2));
    replica.onRecord(record(termOfAnEarlierVersion()), 3);
    assertThat(isStopKnown()).isFalse();
  }
}
