package org.wheatwall.entry.batch.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.entry.common.Clock;

/** A poller with workers, log and clock that the test controls. */
final class WorkerPollerFixture {
  static final int LEASE_MS = 6000;
  private static final int TERM = 7;

  final ManualWorkerPort port = new ManualWorkerPort();
  final Effects effects = new Effects();
  final ManualClock clock = new ManualClock();
  private final List<Runnable> scheduledTasks = new ArrayList<>();
  private final Deque<Runnable> loopTasks = new ArrayDeque<>();
  private boolean loopBlocked;
  final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000), SchedulerSettings.DEFAULT, effects, TERM, 0, 0);
  final WorkerPoller poller =
      new WorkerPoller(
          port,
          supervisor,
          TERM,
          LEASE_MS,
          true,
          this::onLoop,
          (ms, task) -> scheduledTasks.add(task),
          clock,
          new TermListener());

  /** Completes appends at once, or when the test unblocks the log. */
  final class Effects implements RunEffects {
    final List<RunEvent> decided = new ArrayList<>();
    private final List<Runnable> pendingAppends = new ArrayList<>();
    private boolean logBlocked;

    void blockLog() {
      logBlocked = true;
    }

    void unblockLog() {
      logBlocked = false;
      List<Runnable> due = List.copyOf(pendingAppends);
      pendingAppends.clear();
      due.forEach(Runnable::run);
    }

    int pendingAppends() {
      return pendingAppends.size();
    }

    @Override
    public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
      if (logBlocked) {
        pendingAppends.add(onAcknowledged);
      } else {
        onAcknowledged.run();
      }
    }

    @Override
    public void sendStart(StartCommand command) {}

    @Override
    public void sendStop(StopCommand command) {}

    @Override
    public void requestReport(String worker) {
      poller.pollSoon(worker);
    }

    @Override
    public void requestPermits(PermitRequest request) {}

    @Override
    public void logDecision(RunEvent event) {
      decided.add(event);
    }
  }

  private static final class TermListener implements WorkerPoller.Listener {
    @Override
    public boolean mayAct() {
      return true;
    }

    @Override
    public void onReport() {}

    @Override
    public void onFenced(String worker) {
      throw new AssertionError("no worker has seen a higher term");
    }
  }

  /** Advances only when the test says so. */
  static final class ManualClock implements Clock {
    private long nowMs = 1000;

    void advance(long ms) {
      nowMs += ms;
    }

    @Override
    public long nowMs() {
      return nowMs;
    }

    @Override
    public long wallMs() {
      return nowMs;
    }
  }

  /** Holds each poll until the test answers it. */
  static final class ManualWorkerPort implements WorkerPort {
    final List<CompletableFuture<WorkerInventory>> inFlight = new ArrayList<>();
    final List<String> polled = new ArrayList<>();
    final List<Integer> waitMs = new ArrayList<>();
    final List<Long> acknowledged = new ArrayList<>();
    final List<Boolean> extendsLeases = new ArrayList<>();
    // On the worker's clock; 0 for a poll that extends none.
    final List<Long> leaseEndsMs = new ArrayList<>();

    @Override
    public CompletableFuture<CommandOutcome> start(
        WorkerInfo worker, StartCommand command, Lease lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<CommandOutcome> stop(
        WorkerInfo worker, StopCommand command, long term) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call) {
      CompletableFuture<WorkerInventory> response = new CompletableFuture<>();
      inFlight.add(response);
      polled.add(worker.id());
      waitMs.add(call.waitMs());
      acknowledged.add(call.acknowledged());
      extendsLeases.add(call.untilMs().isPresent());
      leaseEndsMs.add(call.untilMs().orElse(0));
      return response;
    }

    @Override
    public CompletableFuture<Boolean> isReachable(String address) {
      throw new UnsupportedOperationException();
    }

    void respondToOne(boolean success) {
      if (success) {
        respondToOne(new WorkerInventory(5, List.of(), List.of()));
      } else {
        inFlight
            .remove(0)
            .completeExceptionally(new WorkerFailure(WorkerFailure.Kind.SILENT, "no answer"));
      }
    }

    void respondToOne(WorkerInventory report) {
      inFlight.remove(0).complete(report);
    }
  }

  private void onLoop(Runnable task) {
    if (loopBlocked) {
      loopTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Queues the tasks of the loop, as while one of them takes long. */
  void blockLoop() {
    loopBlocked = true;
  }

  /** Runs a task and then the queued tasks of the loop, in order of arrival. */
  void unblockLoop(Runnable first) {
    first.run();
    while (!loopTasks.isEmpty()) {
      loopTasks.remove().run();
    }
    loopBlocked = false;
  }

  /** Runs the tasks that were scheduled for later. */
  void runScheduledTasks() {
    List<Runnable> due = List.copyOf(scheduledTasks);
    scheduledTasks.clear();
    due.forEach(Runnable::run);
  }

  /** Lists workers named {@code worker-0}, {@code worker-1} and so on. */
  void listWorkers(int count) {
    for (int i = 0; i < count; i++) {
      listWorker("worker-" + i);
    }
  }

  void listWorker(String name) {
    supervisor.listWorker(
        new WorkerInfo(
            name,
            "127.0.0.1:1",
            "service",
            "zone",
            "rack",
            Set.of(),
            new ResourceAmount(1000, 100, 8),
            false),
        clock.nowMs());
  }
}
