package org.wheatwall.app.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Measures the processor time of the batch decider alone, with workers and a log that respond
 * immediately and at no cost.
 */
final class SupervisorBench {
  private static final int[] SIZES = {250, 1000, 4000, 17_000};
  private static final double TASKS_PER_WORKER = 4.5;
  private static final int TASKS_PER_JOB = 6;
  private static final int CYCLES = 300;
  private static final int IDLE_TICKS = 100;
  private static final int TICK_MS = 100;
  private static final int WORKERS_PER_RACK = 20;
  private static final int WAITING_JOBS = 50;
  private static final ResourceAmount WORKER = new ResourceAmount(32_000, 131_072, 8);
  private static final ResourceAmount TASK = new ResourceAmount(2800, 1024, 1);
  private static final SchedulerSettings SCHEDULING =
      new SchedulerSettings(600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 45, Mechanisms.ALL);

  private final int workers;
  private final RunSupervisor supervisor;
  private final Map<String, List<StartCommand>> running = new LinkedHashMap<>();
  private final Map<String, Long> ends = new HashMap<>();
  private final Map<String, Deque<WorkerInventory.EndedTask>> unacknowledged = new HashMap<>();
  private final Set<String> reportsDue = new HashSet<>();
  private final Deque<Runnable> pendingCallbacks = new ArrayDeque<>();
  private long nowMs = 1_000_000;
  private int jobs;
  private int nextWorker;

  private SupervisorBench(int workers) {
    this.workers = workers;
    this.supervisor =
        new RunSupervisor(
            SupervisorSettings.of(3000, 120_000), SCHEDULING, new Effects(), 1, nowMs, 0);
    for (int i = 0; i < workers; i++) {
      String id = "worker-" + i;
      WorkerInfo info =
          new WorkerInfo(
              id,
              "127.0.0.1:1",
              "service",
              "zone",
              "rack-" + i / WORKERS_PER_RACK,
              Set.of(),
              WORKER,
              false);
      running.put(id, new ArrayList<>());
      supervisor.listWorker(info, nowMs);
      report(id);
    }
    while (runs() < workers * TASKS_PER_WORKER) {
      accept();
      runPending();
    }
  }

  /** Completes every command immediately. */
  private final class Effects implements RunEffects {
    @Override
    public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
      pendingCallbacks.add(onAcknowledged);
    }

    @Override
    public void sendStart(StartCommand command) {
      running.get(command.worker()).add(command);
      pendingCallbacks.add(
          () -> supervisor.onStartOutcome(command, CommandOutcome.DONE, nowMs, nowMs));
    }

    @Override
    public void sendStop(StopCommand command) {
      pendingCallbacks.add(
          () -> supervisor.onStopOutcome(command, CommandOutcome.DONE, nowMs, nowMs));
    }

    @Override
    public void requestReport(String worker) {
      reportsDue.add(worker);
    }

    @Override
    public void requestPermits(PermitRequest request) {}

    @Override
    public void logDecision(RunEvent event) {}
  }

  /** Returns the cost of the supervisor at several numbers of workers. */
  static List<Slope> run() {
    new SupervisorBench(SIZES[0]).cycles();
    List<LineFit.Point> cycles = new ArrayList<>();
    List<LineFit.Point> ticks = new ArrayList<>();
    for (int size : SIZES) {
      SupervisorBench bench = new SupervisorBench(size);
      cycles.add(new LineFit.Point(size, bench.cycles()));
      ticks.add(new LineFit.Point(size, bench.idleTicks()));
    }
    return List.of(
        Slope.of("batch decider: a task from acceptance to its end", "worker", "us cpu", cycles),
        Slope.of("batch decider: a tick while nothing changes", "worker", "us cpu", ticks));
  }

  /** Returns the processor time of a task from acceptance to its end, microseconds. */
  private double cycles() {
    for (int i = 0; i < WAITING_JOBS; i++) {
      accept();
    }
    runPending();
    double micros =
        Meters.cpuMicros(
            () -> {
              for (int i = 0; i < CYCLES; i++) {
                accept();
                for (int k = 0; k < TASKS_PER_JOB; k++) {
                  endNextTask();
                }
                nowMs += TICK_MS;
                runPending();
              }
            });
    return micros / CYCLES / TASKS_PER_JOB;
  }

  /** Returns the processor time of one tick, microseconds. */
  private double idleTicks() {
    return Meters.cpuMicros(
            () -> {
              for (int i = 0; i < IDLE_TICKS; i++) {
                nowMs += TICK_MS;
                runPending();
              }
            })
        / IDLE_TICKS;
  }

  private int runs() {
    return running.values().stream().mapToInt(List::size).sum();
  }

  private void accept() {
    StepSpec step =
        new StepSpec(
            TASKS_PER_JOB,
            TASK,
            9000,
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    BatchJob job =
        new BatchJob(
            String.format("%016x", ++jobs),
            "queue",
            "service",
            "workspace",
            "specification",
            List.of(step),
            Optional.empty(),
            1,
            3,
            nowMs);
    supervisor.accept(job, nowMs, nowMs);
  }

  // Ends the oldest task of the next worker that runs one.
  private void endNextTask() {
    for (int i = 0; i < workers; i++) {
      String id = "worker-" + nextWorker;
      nextWorker = (nextWorker + 1) % workers;
      if (!running.get(id).isEmpty()) {
        StartCommand command = running.get(id).remove(0);
        long number = ends.merge(id, 1L, Long::sum);
        unacknowledged
            .computeIfAbsent(id, key -> new ArrayDeque<>())
            .add(
                new WorkerInventory.EndedTask(
                    number, command.task(), command.run(), EndKind.DONE, ""));
        report(id);
        return;
      }
    }
  }

  private void report(String id) {
    Deque<WorkerInventory.EndedTask> ended =
        unacknowledged.computeIfAbsent(id, key -> new ArrayDeque<>());
    ended.removeIf(end -> end.number() <= supervisor.acknowledgedEndNumber(id));
    List<WorkerInventory.RunningTask> runningTasks =
        running.get(id).stream()
            .map(command -> new WorkerInventory.RunningTask(command.task(), command.run(), "", 0))
            .toList();
    WorkerInventory inventory = new WorkerInventory(nowMs, runningTasks, List.copyOf(ended));
    supervisor.onReport(id, inventory, nowMs, nowMs, nowMs);
    decideIfDue();
  }

  private void decideIfDue() {
    if (supervisor.isDecisionDue(nowMs)) {
      supervisor.decide(nowMs, nowMs);
    }
  }

  private void runPending() {
    supervisor.tick(nowMs, nowMs);
    decideIfDue();
    while (!pendingCallbacks.isEmpty() || !reportsDue.isEmpty()) {
      while (!pendingCallbacks.isEmpty()) {
        pendingCallbacks.poll().run();
      }
      List<String> due = List.copyOf(reportsDue);
      reportsDue.clear();
      due.forEach(this::report);
    }
  }
}
