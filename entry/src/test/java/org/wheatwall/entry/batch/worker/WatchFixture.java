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

/** A watch over workers whose calls, log and clock the test plays. */
final class WatchFixture {
  private static final int LEASE_MS = 6000;
  private static final int TERM = 7;

  final HeldPort port = new HeldPort();
  final Effects effects = new Effects();
  final SetClock clock = new SetClock();
  private final List<Runnable> timers = new ArrayList<>();
  private final Deque<Runnable> loopTasks = new ArrayDeque<>();
  private boolean loopHeld;
  final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000), SchedulerSettings.DEFAULT, effects, TERM, 0, 0);
  final WorkerWatch watch =
      new WorkerWatch(
          port,
          supervisor,
          TERM,
          LEASE_MS,
          true,
          this::onLoop,
          (ms, task) -> timers.add(task),
          clock,
          new Holder());

  /** Keeps records at once, or when the test says so. */
  final class Effects implements RunEffects {
    final List<RunEvent> decided = new ArrayList<>();
    private final List<Runnable> unkept = new ArrayList<>();
    private boolean logHeld;

    void holdLog() {
      logHeld = true;
    }

    void releaseLog() {
      logHeld = false;
      List<Runnable> due = List.copyOf(unkept);
      unkept.clear();
      due.forEach(Runnable::run);
    }

    int unkept() {
      return unkept.size();
    }

    @Override
    public void keep(List<LogEntry> entries, Runnable whenKept) {
      if (logHeld) {
        unkept.add(whenKept);
      } else {
        whenKept.run();
      }
    }

    @Override
    public void start(StartCommand order) {}

    @Override
    public void stop(StopCommand order) {}

    @Override
    public void look(String worker) {
      watch.look(worker);
    }

    @Override
    public void askPermits(PermitRequest question) {}

    @Override
    public void decided(RunEvent event) {
      decided.add(event);
    }
  }

  private static final class Holder implements WorkerWatch.Listener {
    @Override
    public boolean mayAct() {
      return true;
    }

    @Override
    public void reported() {}

    @Override
    public void fenced(String worker) {
      throw new AssertionError("no other term");
    }
  }

  /** Stands still unless it is moved. */
  static final class SetClock implements Clock {
    private long nowMs = 1000;

    void move(long ms) {
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

  /** Keeps each call for a report until the test answers it. */
  static final class HeldPort implements WorkerPort {
    final List<CompletableFuture<WorkerInventory>> waiting = new ArrayList<>();
    final List<String> met = new ArrayList<>();
    final List<Integer> waitMs = new ArrayList<>();
    final List<Long> acknowledged = new ArrayList<>();

    @Override
    public CompletableFuture<CommandOutcome> start(
        WorkerInfo worker, StartCommand order, Lease lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<CommandOutcome> stop(WorkerInfo worker, StopCommand order, long term) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call) {
      CompletableFuture<WorkerInventory> answer = new CompletableFuture<>();
      waiting.add(answer);
      met.add(worker.id());
      waitMs.add(call.waitMs());
      acknowledged.add(call.acknowledged());
      return answer;
    }

    void answerOne(boolean well) {
      if (well) {
        answerOne(new WorkerInventory(5, List.of(), List.of()));
      } else {
        waiting
            .remove(0)
            .completeExceptionally(new WorkerFailure(WorkerFailure.Kind.SILENT, "no answer"));
      }
    }

    void answerOne(WorkerInventory report) {
      waiting.remove(0).complete(report);
    }
  }

  private void onLoop(Runnable task) {
    if (loopHeld) {
      loopTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Lets the loop's tasks wait, as while one of them takes long. */
  void holdLoop() {
    loopHeld = true;
  }

  /** Runs a task and then what waits for the loop, in the order in which it came. */
  void runLoop(Runnable first) {
    first.run();
    while (!loopTasks.isEmpty()) {
      loopTasks.remove().run();
    }
    loopHeld = false;
  }

  /** Runs what was to be done later. */
  void runTimers() {
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  /** Lists workers named {@code worker-0} and so on. */
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
