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
 * Measures what the decider of the batch plane spends in its own process, with workers and log that
 * answer at once and cost nothing of their own.
 */
final class SupervisorBench {
  private static final int[] SIZES = {250, 1000, 4000, 17_000};
  private static final double TASKS_PER_WORKER = 4.5;
  private static final int TASKS_PER_JOB = 6;
  private static final int CYCLES = 300;
  private static final int IDLE_TICKS = 100;
  private static final int TICK_MS = 100;
  private static final int RACK = 20;
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
  private final Set<String> toLook = new HashSet<>();
  private final Deque<Runnable> soon = new ArrayDeque<>();
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
              id, "127.0.0.1:1", "service", "zone", "rack-" + i / RACK, Set.of(), WORKER, false);
      running.put(id, new ArrayList<>());
      supervisor.listWorker(info, nowMs);
      report(id);
    }
    while (runs() < workers * TASKS_PER_WORKER) {
      accept();
      settle();
    }
  }

  /** Answers every order at once. */
  private final class Effects implements RunEffects {
    @Override
    public void appendToLog(List<LogEntry> entries, Runnable whenKept) {
      soon.add(whenKept);
    }

    @Override
    public void sendStart(StartCommand order) {
      running.get(order.worker()).add(order);
      soon.add(() -> supervisor.onStartOutcome(order, CommandOutcome.DONE, nowMs, nowMs));
    }

    @Override
    public void sendStop(StopCommand order) {
      soon.add(() -> supervisor.onStopOutcome(order, CommandOutcome.DONE, nowMs, nowMs));
    }

    @Override
    public void requestReport(String worker) {
      toLook.add(worker);
    }

    @Override
    public void requestPermits(PermitRequest question) {}

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
    settle();
    double micros =
        Meters.cpuMicros(
            () -> {
              for (int i = 0; i < CYCLES; i++) {
                accept();
                for (int k = 0; k < TASKS_PER_JOB; k++) {
                  endOne();
                }
                nowMs += TICK_MS;
                settle();
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
                settle();
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

  // The oldest task of the next worker that runs one ends.
  private void endOne() {
    for (int i = 0; i < workers; i++) {
      String id = "worker-" + nextWorker;
      nextWorker = (nextWorker + 1) % workers;
      if (!running.get(id).isEmpty()) {
        StartCommand order = running.get(id).remove(0);
        long number = ends.merge(id, 1L, Long::sum);
        unacknowledged
            .computeIfAbsent(id, key -> new ArrayDeque<>())
            .add(
                new WorkerInventory.EndedTask(number, order.task(), order.run(), EndKind.DONE, ""));
        report(id);
        return;
      }
    }
  }

  private void report(String id) {
    Deque<WorkerInventory.EndedTask> ended =
        unacknowledged.computeIfAbsent(id, key -> new ArrayDeque<>());
    ended.removeIf(end -> end.number() <= supervisor.acknowledgedEndNumber(id));
    List<WorkerInventory.RunningTask> now =
        running.get(id).stream()
            .map(order -> new WorkerInventory.RunningTask(order.task(), order.run(), "", 0))
            .toList();
    WorkerInventory inventory = new WorkerInventory(nowMs, now, List.copyOf(ended));
    supervisor.onReport(id, inventory, nowMs, nowMs, nowMs);
    decideIfWanted();
  }

  private void decideIfWanted() {
    if (supervisor.isDecisionDue(nowMs)) {
      supervisor.decide(nowMs, nowMs);
    }
  }

  private void settle() {
    supervisor.tick(nowMs, nowMs);
    decideIfWanted();
    while (!soon.isEmpty() || !toLook.isEmpty()) {
      while (!soon.isEmpty()) {
        soon.poll().run();
      }
      List<String> due = List.copyOf(toLook);
      toLook.clear();
      due.forEach(this::report);
    }
  }
}
