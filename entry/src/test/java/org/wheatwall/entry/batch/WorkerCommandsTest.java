package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.entry.batch.worker.WorkerPoller;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.common.Clock;

/** Guards against runs that are given up although a start command has extended their leases. */
final class WorkerCommandsTest {
  private static final int LEASE_MS = 6000;
  private static final int LEASE_EXPIRY_MS =
      SupervisorSettings.of(LEASE_MS, 60_000).leaseExpiryMs();
  private static final int TERM = 2;
  private static final String WORKER = "w";
  private static final TaskName TASK = new TaskName(SimulatedJobs.id(1), 0, 0, 0);

  private final VirtualTime time = new VirtualTime(1);
  private final Clock clock = new VirtualClock();
  private final UnansweredPort port = new UnansweredPort();
  private final BatchContext context =
      new BatchContext(
          Runnable::run, time::after, clock, new DecisionLog(clock), new MetricRegistry());
  private final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000),
          SchedulerSettings.DEFAULT,
          new AcknowledgedEffects(),
          TERM,
          time.nowMs(),
          0);
  private final WorkerPoller poller =
      new WorkerPoller(
          port,
          supervisor,
          TERM,
          LEASE_MS,
          false,
          Runnable::run,
          time::after,
          clock,
          new PollerListener());
  private final WorkerCommands commands =
      new WorkerCommands(context, port, poller, supervisor, new RunningTerm());

  private final class VirtualClock implements Clock {
    @Override
    public long nowMs() {
      return time.nowMs();
    }

    @Override
    public long wallMs() {
      return time.nowMs();
    }
  }

  /** Holds each poll until the test answers it, and answers no command. */
  private static final class UnansweredPort implements WorkerPort {
    private final List<CompletableFuture<WorkerInventory>> polls = new ArrayList<>();
    private int starts;

    @Override
    public CompletableFuture<CommandOutcome> start(
        WorkerInfo worker, StartCommand command, Lease lease) {
      starts++;
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandOutcome> stop(
        WorkerInfo worker, StopCommand command, long term) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call) {
      polls.add(new CompletableFuture<>());
      return polls.get(polls.size() - 1);
    }

    @Override
    public CompletableFuture<Boolean> isReachable(String address) {
      throw new UnsupportedOperationException();
    }
  }

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

  private static final class PollerListener implements WorkerPoller.Listener {
    @Override
    public boolean mayAct() {
      return true;
    }

    @Override
    public void onReport() {}

    @Override
    public void onFenced(String worker) {}
  }

  private static final class RunningTerm implements WorkerCommands.Term {
    @Override
    public long number() {
      return TERM;
    }

    @Override
    public boolean mayAct() {
      return true;
    }

    @Override
    public boolean ended() {
      return false;
    }

    @Override
    public void onFenced(String worker) {}

    @Override
    public void onResponse() {}
  }

  private void adoptRunAndReportIt() {
    BatchJob job = SimulatedJobs.singleTask(TASK.jobId(), 1000, 1, 0, time.nowMs());
    JobTable table = new JobTable();
    table.apply(LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)), 0);
    GroupState state = GroupState.NEW.withRunStarted(List.of(WORKER));
    table.apply(
        LogEntry.of(LogKey.group(new GroupKey(job.id(), 0, 0, 0)), new LogContent.Group(state)), 1);
    supervisor.adopt(table, time.nowMs(), time.nowMs());
    supervisor.listWorker(
        new WorkerInfo(
            WORKER,
            "127.0.0.1:1",
            "service",
            "zone",
            "rack",
            Set.of(),
            new ResourceAmount(1000, 100, 8),
            false),
        time.nowMs());
    poller.pollSoon(WORKER);
    WorkerInventory.RunningTask running = new WorkerInventory.RunningTask(TASK, 1, "", 0);
    port.polls.get(0).complete(new WorkerInventory(5, List.of(running), List.of()));
  }

  private boolean isRunKeptAt(long atMs) {
    time.runFor(atMs - time.nowMs());
    supervisor.tick(time.nowMs(), time.nowMs());
    return supervisor.workersInUse().contains(WORKER);
  }

  @Test
  void runsAreAwaitedFromTheLastStartCommand() {
    adoptRunAndReportIt();
    time.runFor(400);
    long startedAtMs = time.nowMs();
    commands.start(new StartCommand(WORKER, TASK, 1, "", "", Optional.empty()));
    assertThat(port.starts).isEqualTo(1);
    supervisor.unlistWorker(WORKER, startedAtMs);
    assertThat(isRunKeptAt(startedAtMs + LEASE_EXPIRY_MS)).isTrue();
    assertThat(isRunKeptAt(startedAtMs + LEASE_EXPIRY_MS + 1)).isFalse();
  }
}
