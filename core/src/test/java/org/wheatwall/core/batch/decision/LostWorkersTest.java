package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Losses of workers are counted per task. Without the count, a task that crashes its workers is
 * restarted forever. If all crashes count the same, tasks that only ran beside it fail as well. If
 * the count is not logged, the next decider starts counting from zero.
 */
final class LostWorkersTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);

  private int workers;

  private String nextWorker() {
    String id = "worker" + workers++;
    listWorker(id);
    return id;
  }

  /**
   * Starts the next run on a new worker, which reports it after {@code runsForMs} and then crashes.
   */
  private void crashWorkerOfNextRun(int runsForMs) {
    String worker = nextWorker();
    tick(WALL_MS);
    effects.acknowledgeAll();
    StartCommand command = effects.starts.get(effects.starts.size() - 1);
    assertThat(command.worker()).isEqualTo(worker);
    supervisor.onStartOutcome(command, CommandOutcome.DONE, nowMs, WALL_MS);
    if (runsForMs > 0) {
      nowMs += runsForMs;
      report(worker, List.of(running(command)), List.of());
    }
    nowMs += 3400;
    supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    effects.acknowledgeAll();
  }

  private static WorkerInventory.RunningTask running(StartCommand command) {
    return new WorkerInventory.RunningTask(command.task(), command.run(), "", 10);
  }

  private GroupState lastState() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.group(GROUP)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.Group) content).state())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @Test
  void jobFailsAtTheSecondCrashAtStart() {
    accept(job(1, false, 9));
    crashWorkerOfNextRun(0);
    assertThat(loggedEndState()).isEmpty();
    crashWorkerOfNextRun(0);
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
    nextWorker();
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(2);
  }

  @Test
  void taskObservedRunningIsNotSuspect() {
    accept(job(1, false, 9));
    crashWorkerOfNextRun(2000);
    assertThat(loggedEndState()).isEmpty();
    assertThat(lastState().suspect()).isFalse();
  }

  // The task ends during a network partition, so its end is not reported, and its worker restarts
  // seconds later. The job must not fail as if the task had crashed the worker.
  @Test
  void taskThatMayHaveEndedBeforeItsSilentWorkerCrashedIsNotSuspect() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.acknowledgeAll();
    StartCommand command = effects.starts.get(0);
    supervisor.onStartOutcome(command, CommandOutcome.DONE, nowMs, WALL_MS);
    nowMs += 1600;
    supervisor.onCallUnanswered(worker, nowMs);
    nowMs += 3400;
    supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    effects.acknowledgeAll();
    assertThat(lastState().losses()).hasSize(1);
    assertThat(lastState().suspect()).isFalse();
  }

  @Test
  void threePossibleCrashesDoNotFailTheJob() {
    accept(job(1, false, 9));
    crashWorkerOfNextRun(2000);
    crashWorkerOfNextRun(2000);
    crashWorkerOfNextRun(2000);
    assertThat(loggedEndState()).isEmpty();
  }

  @Test
  void jobFailsAtTheFourthPossibleCrash() {
    accept(job(1, false, 9));
    for (int i = 0; i < 4; i++) {
      assertThat(loggedEndState()).isEmpty();
      crashWorkerOfNextRun(2000);
    }
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
  }

  @Test
  void lossCountIsLoggedBeforeTheNextRunIsPlanned() {
    accept(job(1, false, 9));
    crashWorkerOfNextRun(0);
    assertThat(lastState().losses()).hasSize(1);
    assertThat(lastState().losses().get(0).crashesAtStart()).isEqualTo(1);
  }

  @Test
  void nextTermContinuesTheLossCount() {
    GroupState once =
        GroupState.NEW
            .withRunStarted(List.of("gone"))
            .withLoss(1, 0, LossKind.CRASH_AT_START)
            .withRunStarted(List.of("a"));
    LogEntry entry = LogEntry.of(LogKey.group(GROUP), new LogContent.Group(once));
    supervisor.adopt(tableWith(job(1, false, 9), entry), nowMs, WALL_MS);
    listUnreportedWorker("a");
    WorkerInventory.RunningTask runningTask =
        new WorkerInventory.RunningTask(new TaskName(ID, 0, 0, 0), 2, "", 1);
    report("a", List.of(runningTask), List.of());
    supervisor.onWorkerGone("a", nowMs, WALL_MS);
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
  }

  // The next decider finds the intent in the log and a worker that is gone; it counts the run once.
  @Test
  void runWhoseWorkerWasLostBeforeTheTakeOverCountsAsLost() {
    adoptJobActiveOn("a");
    listUnreportedWorker("a");
    supervisor.onWorkerGone("a", nowMs, WALL_MS);
    assertThat(lastState().losses().get(0).lost()).isEqualTo(1);
    assertThat(lastState().losses().get(0).crashesAtStart()).isEqualTo(0);
  }

  @Test
  void unansweredStartCountsAsLost() {
    accept(job(1, false, 9));
    for (int i = 0; i < 4; i++) {
      assertThat(loggedEndState()).isEmpty();
      String worker = nextWorker();
      tick(WALL_MS);
      effects.acknowledgeAll();
      supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    }
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
  }

  @Test
  void plannedShutdownIsNotACrash() {
    accept(job(1, false, 9));
    for (int i = 0; i < 3; i++) {
      String worker = nextWorker();
      tick(WALL_MS);
      effects.acknowledgeAll();
      resolveStarts(CommandOutcome.DONE);
      supervisor.listWorker(draining(worker), nowMs);
      supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    }
    assertThat(loggedEndState()).isEmpty();
    assertThat(lastState().losses()).isEmpty();
  }

  // No other process responds at its address, so it is only known to be gone once its leases have
  // expired.
  @Test
  void silentWorkerAfterPlannedShutdownHasNotCrashed() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    supervisor.listWorker(draining(worker), nowMs);
    supervisor.onLeaseSent(worker, nowMs + 1);
    supervisor.unlistWorker(worker, nowMs);
    nowMs += 2 * LEASE_EXPIRY_MS;
    tick(WALL_MS);
    assertThat(lastState().phase()).isEqualTo(GroupPhase.WAITING);
    assertThat(lastState().losses()).isEmpty();
  }

  @Test
  void workerUnlistedWhileStillReportingHasNotCrashed() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    supervisor.unlistWorker(worker, nowMs);
    nowMs += 10;
    report(worker, List.of(running(effects.starts.get(0))), List.of());
    supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    assertThat(lastState().losses()).isEmpty();
  }

  @Test
  void lossesOfGangTasksAreCountedSeparately() {
    GroupState state = GroupState.NEW.withRunStarted(List.of("a", "b", "c"));
    for (int run = 1; run <= 3; run++) {
      state = state.withLoss(run, run - 1, LossKind.CRASH_AT_START);
    }
    assertThat(state.hasTooManyLosses()).isFalse();
    assertThat(state.withLoss(4, 1, LossKind.CRASH_AT_START).hasTooManyLosses()).isTrue();
  }

  @Test
  void runCountsOncePerTask() {
    GroupState state = GroupState.NEW.withRunStarted(List.of("a"));
    state = state.withLoss(1, 0, LossKind.CRASH_AT_START).withLoss(1, 0, LossKind.CRASH_AT_START);
    assertThat(state.hasTooManyLosses()).isFalse();
  }

  @Test
  void longRunClearsTheLossesOfALongRunningTask() {
    accept(longRunningJob(1));
    crashWorkerOfNextRun(0);
    crashWorkerOfNextRun(40_000);
    assertThat(lastState().losses()).isEmpty();
    assertThat(loggedEndState()).isEmpty();
  }

  // The loss of the worker ends the job with its first run; the decision loop must not fail on the
  // second run, which has ended with the job.
  @Test
  void jobFailsWhileAnotherOfItsRunsIsBeingLogged() {
    GroupState once =
        GroupState.NEW
            .withRunStarted(List.of("gone"))
            .withLoss(1, 0, LossKind.CRASH_AT_START)
            .withoutActiveRun(GroupPhase.WAITING);
    LogEntry entry = LogEntry.of(LogKey.group(GROUP), new LogContent.Group(once));
    supervisor.adopt(tableWith(job(2, false, 9), entry), nowMs, WALL_MS);
    listWorker("a");
    while (effects.starts.isEmpty()) {
      effects.acknowledgeNext();
    }
    assertThat(supervisor.runningGroups()).hasSize(2);
    resolveStarts(CommandOutcome.DONE);
    supervisor.onWorkerGone("a", nowMs, WALL_MS);
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
    assertThat(supervisor.runningGroups()).isEmpty();
  }

  // The next crash must show which of the two caused it.
  @Test
  void suspectsOfTheSameCrashAreSeparated() {
    SupervisorFixture fixture = new SupervisorFixture();
    fixture.listWorker("a", "r1");
    List<String> jobs = List.of("00000000000000a1", "00000000000000a2");
    for (String id : jobs) {
      BatchJob job = SupervisorFixture.job(id, SupervisorFixture.tasks(1, 1));
      fixture.accept(job);
    }
    for (StartCommand command : new ArrayList<>(fixture.effects.starts)) {
      fixture.supervisor.onStartOutcome(command, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    }
    fixture.listWorker("b", "r1");
    fixture.listWorker("c", "r1");
    fixture.supervisor.onWorkerGone("a", fixture.nowMs, WALL_MS);
    fixture.decide();
    List<String> next = fixture.startedOn().subList(2, 4);
    assertThat(Set.copyOf(next)).containsExactly("b", "c");
  }

  private WorkerInfo draining(String id) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, 8);
    return new WorkerInfo(id, "127.0.0.1:1", "s", "z", "r", Set.of(), capacity, true);
  }

  @Test
  void endRecordContainsTheReason() {
    accept(job(1, false, 9));
    crashWorkerOfNextRun(0);
    crashWorkerOfNextRun(0);
    Optional<String> reason =
        effects.logged.stream()
            .filter(entry -> entry.key().equals(LogKey.end(ID)))
            .flatMap(entry -> entry.content().stream())
            .map(content -> ((LogContent.End) content).reason())
            .findFirst();
    assertThat(reason.orElseThrow()).contains("has cost too many workers");
  }
}
