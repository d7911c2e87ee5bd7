package org.wheatwall.core.batch.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** A supervisor with workers in racks and a clock that the test advances. */
final class SupervisorFixture {
  static final String JOB = "00000000000000aa";
  static final String QUEUE = "q";
  static final int WORKER_ACCELERATORS = 8;

  private static final int LEASE_MS = 6000;
  private static final int TICK_MS = 100;
  private static final long WALL_MS = 1_000_000;

  final RecordedEffects effects = new RecordedEffects();
  final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000), SchedulerSettings.DEFAULT, effects, 7, 0, 0);
  long nowMs = 100;

  static BatchJob job(StepSpec step) {
    return job(JOB, step);
  }

  static BatchJob job(String id, StepSpec step) {
    return new BatchJob(id, QUEUE, "s", "w", "", List.of(step), Optional.empty(), 1, 2, WALL_MS);
  }

  /** Returns a gang that requires a single rack for full speed. */
  static StepSpec rackGang(int tasks, int accelerators) {
    return step(tasks, accelerators, true);
  }

  /** Returns a step of tasks that start individually. */
  static StepSpec tasks(int tasks, int accelerators) {
    return step(tasks, accelerators, false);
  }

  private static StepSpec step(int tasks, int accelerators, boolean gang) {
    return new StepSpec(
        tasks,
        new ResourceAmount(100, 10, accelerators),
        1000,
        List.of(),
        false,
        gang,
        gang,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        HostSharing.ORDINARY);
  }

  static WorkerInfo info(String id, String rack) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, WORKER_ACCELERATORS);
    return new WorkerInfo(id, "127.0.0.1:1", "s", "z", rack, Set.of(), capacity, false);
  }

  void listWorker(String id, String rack, WorkerInventory.RunningTask... running) {
    supervisor.listWorker(info(id, rack), nowMs);
    supervisor.onReport(
        id, new WorkerInventory(nowMs, List.of(running), List.of()), nowMs, nowMs, WALL_MS);
  }

  void accept(BatchJob job) {
    supervisor.accept(job, nowMs, WALL_MS);
    decide();
  }

  void adopt(JobTable table) {
    supervisor.adopt(table, nowMs, WALL_MS);
  }

  /** Reports an outcome for every start sent so far. */
  void resolveStarts(CommandOutcome outcome) {
    for (StartCommand command : List.copyOf(effects.starts)) {
      supervisor.onStartOutcome(command, outcome, nowMs, WALL_MS);
    }
  }

  /** Reports for a worker that no tasks are running on it any more. */
  void report(String worker, WorkerInventory.EndedTask... ended) {
    nowMs += TICK_MS;
    WorkerInventory inventory = new WorkerInventory(nowMs, List.of(), List.of(ended));
    supervisor.onReport(worker, inventory, nowMs - 1, nowMs, WALL_MS);
  }

  /** Advances the clock in ticks. */
  void advance(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      supervisor.tick(nowMs, WALL_MS);
      decide();
    }
  }

  /** Runs a scheduling pass if one is due, and acknowledges all log records. */
  void decide() {
    if (supervisor.isDecisionDue(nowMs)) {
      supervisor.decide(nowMs, WALL_MS);
    }
    effects.acknowledgeAll();
  }

  /** Returns the workers to which starts were sent, in order. */
  List<String> startedOn() {
    return effects.starts.stream().map(StartCommand::worker).toList();
  }
}
