package org.wheatwall.core.batch.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.Recurrence;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** Base class of tests with a supervisor, one job and simulated workers. */
abstract class OneJobScenario {
  static final String ID = "00000000000000aa";
  static final int LEASE_MS = 6000;
  static final long LEASE_EXPIRY_MS = SupervisorSettings.of(LEASE_MS, 60_000).leaseExpiryMs();
  static final long WALL_MS = 1_000_000;

  final RecordedEffects effects = new RecordedEffects();
  final RunSupervisor supervisor =
      new RunSupervisor(
          SupervisorSettings.of(LEASE_MS, 60_000), SchedulerSettings.DEFAULT, effects, 7, 0, 0);
  long nowMs = 100;

  static BatchJob job(int tasks, boolean gang, int maxAttempts) {
    return job(ID, step(tasks, gang, false, 1), Optional.empty(), 1, maxAttempts);
  }

  static BatchJob longRunningJob(int accelerators) {
    return job(ID, step(1, false, true, accelerators), Optional.empty(), 1, 1);
  }

  static BatchJob recurringJob(long firstDueMs, long intervalMs, int times) {
    Recurrence recurrence = new Recurrence(firstDueMs, intervalMs, times);
    return job(ID, step(1, false, false, 1), Optional.of(recurrence), 1, 2);
  }

  static StepSpec step(int tasks, boolean gang, boolean longRunning, int accelerators) {
    return new StepSpec(
        tasks,
        new ResourceAmount(100, 10, accelerators),
        1000,
        List.of(),
        false,
        gang,
        false,
        Optional.empty(),
        Optional.empty(),
        0,
        longRunning,
        HostSharing.ORDINARY);
  }

  static BatchJob job(
      String id, StepSpec step, Optional<Recurrence> recurrence, int priority, int maxAttempts) {
    return new BatchJob(
        id, "q", "s", "w", "", List.of(step), recurrence, priority, maxAttempts, WALL_MS);
  }

  void listWorker(String id) {
    listUnreportedWorker(id);
    report(id, List.of(), List.of());
  }

  void listUnreportedWorker(String id) {
    supervisor.listWorker(
        new WorkerInfo(
            id, "127.0.0.1:1", "s", "z", "r", Set.of(), new ResourceAmount(1000, 100, 8), false),
        nowMs);
  }

  void report(
      String worker,
      List<WorkerInventory.RunningTask> running,
      List<WorkerInventory.EndedTask> ended) {
    nowMs += 10;
    WorkerInventory inventory = new WorkerInventory(nowMs, running, ended);
    supervisor.onReport(worker, inventory, nowMs - 5, nowMs, WALL_MS);
    decideIfDue(WALL_MS);
  }

  void tick(long wallMs) {
    supervisor.tick(nowMs, wallMs);
    decideIfDue(wallMs);
  }

  void decideIfDue(long wallMs) {
    if (supervisor.isDecisionDue(nowMs)) {
      supervisor.decide(nowMs, wallMs);
    }
  }

  static WorkerInventory.EndedTask endedTask(long number, int index, int run, EndKind kind) {
    return new WorkerInventory.EndedTask(number, new TaskName(ID, 0, 0, index), run, kind, "");
  }

  void accept(BatchJob job) {
    supervisor.accept(job, nowMs, WALL_MS);
    tick(WALL_MS);
  }

  void resolveStarts(CommandOutcome outcome) {
    for (StartCommand command : List.copyOf(effects.starts)) {
      supervisor.onStartOutcome(command, outcome, nowMs, WALL_MS);
    }
  }

  Optional<BatchState> loggedEndState() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.end(ID)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.End) content).state())
        .findFirst();
  }

  JobTable tableWith(BatchJob job, LogEntry... more) {
    JobTable table = new JobTable();
    table.apply(LogEntry.of(LogKey.job(ID), new LogContent.Definition(job)), 0);
    for (int i = 0; i < more.length; i++) {
      table.apply(more[i], i + 1);
    }
    return table;
  }

  static LogEntry activeOn(String worker) {
    GroupState state = GroupState.NEW.withRunStarted(List.of(worker));
    GroupKey group = new GroupKey(ID, 0, 0, 0);
    return LogEntry.of(LogKey.group(group), new LogContent.Group(state));
  }

  Optional<GroupPhase> lastLoggedPhase(GroupKey group) {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.group(group)))
        .reduce((first, second) -> second)
        .flatMap(LogEntry::content)
        .map(content -> ((LogContent.Group) content).state().phase());
  }

  void adoptJobActiveOn(String worker) {
    supervisor.adopt(tableWith(job(1, false, 2), activeOn(worker)), nowMs, WALL_MS);
  }

  void listUnreportedWorkerAtOtherAddress(String id) {
    supervisor.listWorker(
        new WorkerInfo(
            id, "127.0.0.1:2", "s", "z", "r", Set.of(), new ResourceAmount(1000, 100, 8), false),
        nowMs);
  }
}
