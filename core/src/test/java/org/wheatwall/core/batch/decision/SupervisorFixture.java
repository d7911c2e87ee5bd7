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

/** A supervisor with workers in racks, and time that passes when the test says so. */
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

  /** Returns a gang that is slow if spread over several racks. */
  static StepSpec rackGang(int tasks, int accelerators) {
    return step(tasks, accelerators, true);
  }

  /** Returns a step of tasks that start one by one. */
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

  /** Has every start answered that was ordered so far. */
  void answerStarts(CommandOutcome answer) {
    for (StartCommand order : List.copyOf(effects.starts)) {
      supervisor.onStartAnswer(order, answer, nowMs, WALL_MS);
    }
  }

  /** Takes in the report of a worker on which nothing runs any more. */
  void report(String worker, WorkerInventory.EndedTask... ended) {
    nowMs += TICK_MS;
    WorkerInventory inventory = new WorkerInventory(nowMs, List.of(), List.of(ended));
    supervisor.onReport(worker, inventory, nowMs - 1, nowMs, WALL_MS);
  }

  /** Lets time pass, a tick after the other. */
  void pass(int ms) {
    for (int passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      supervisor.tick(nowMs, WALL_MS);
      decide();
    }
  }

  /** Looks at the queue, and has everything kept that is to be written down. */
  void decide() {
    if (supervisor.wantsDecision(nowMs)) {
      supervisor.decide(nowMs, WALL_MS);
    }
    effects.keepAll();
  }

  /** Returns the workers that were ordered to start something. */
  List<String> startedOn() {
    return effects.starts.stream().map(StartCommand::worker).toList();
  }
}
