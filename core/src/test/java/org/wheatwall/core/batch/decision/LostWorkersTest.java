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
 * What a task costs that is on workers which crash. Without the count it is started again for ever;
 * with a count of all crashes alike, work that was only beside it is given up as well; with a count
 * that is not written down, the next decider begins anew.
 */
final class LostWorkersTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);

  private int workers;

  private String nextWorker() {
    String id = "worker" + workers++;
    listWorker(id);
    return id;
  }

  /** Starts the next run on a fresh worker, which crashes {@code ms} after it was last heard. */
  private void crashUnderNextRun(int runsForMs) {
    String worker = nextWorker();
    tick(WALL_MS);
    effects.keepAll();
    StartCommand order = effects.starts.get(effects.starts.size() - 1);
    assertThat(order.worker()).isEqualTo(worker);
    supervisor.onStartAnswer(order, CommandOutcome.DONE, nowMs, WALL_MS);
    if (runsForMs > 0) {
      nowMs += runsForMs;
      report(worker, List.of(running(order)), List.of());
    }
    nowMs += 3400;
    supervisor.workerGone(worker, nowMs, WALL_MS);
    effects.keepAll();
  }

  private static WorkerInventory.RunningTask running(StartCommand order) {
    return new WorkerInventory.RunningTask(order.task(), order.run(), "", 10);
  }

  private GroupState lastState() {
    return effects.kept.stream()
        .filter(entry -> entry.key().equals(LogKey.group(GROUP)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.Group) content).state())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @Test
  void givenUpAtTheSecondCrashAsItBegins() {
    accept(job(1, false, 9));
    crashUnderNextRun(0);
    assertThat(written()).isEmpty();
    crashUnderNextRun(0);
    assertThat(written()).hasValue(BatchState.FAILED);
    nextWorker();
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(2);
  }

  @Test
  void aTaskThatWasSeenAtWorkIsNotSuspectedOfACrash() {
    accept(job(1, false, 9));
    crashUnderNextRun(2000);
    assertThat(written()).isEmpty();
    assertThat(lastState().suspect()).isFalse();
  }

  // Jobs whose task had ended while a cut kept that from being known were given up as if it had
  // crashed its worker, which restarted seconds later.
  @Test
  void aTaskThatMayHaveEndedBeforeItsSilentWorkerCrashedIsNotSuspected() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.keepAll();
    StartCommand order = effects.starts.get(0);
    supervisor.onStartAnswer(order, CommandOutcome.DONE, nowMs, WALL_MS);
    nowMs += 1600;
    supervisor.notAnswered(worker, nowMs);
    nowMs += 3400;
    supervisor.workerGone(worker, nowMs, WALL_MS);
    effects.keepAll();
    assertThat(lastState().losses()).hasSize(1);
    assertThat(lastState().suspect()).isFalse();
  }

  @Test
  void threeCrashesThatItMayOnlyHaveBeenBesideDoNotEndIt() {
    accept(job(1, false, 9));
    crashUnderNextRun(2000);
    crashUnderNextRun(2000);
    crashUnderNextRun(2000);
    assertThat(written()).isEmpty();
  }

  @Test
  void givenUpBeforeAThirdStartBeyondThreeCrashesHoweverLateItCrashes() {
    accept(job(1, false, 9));
    for (int i = 0; i < 4; i++) {
      assertThat(written()).isEmpty();
      crashUnderNextRun(2000);
    }
    assertThat(written()).hasValue(BatchState.FAILED);
  }

  @Test
  void theCountIsWrittenBeforeTheNextRunIsIntended() {
    accept(job(1, false, 9));
    crashUnderNextRun(0);
    assertThat(lastState().losses()).hasSize(1);
    assertThat(lastState().losses().get(0).crashesAtStart()).isEqualTo(1);
  }

  @Test
  void theNextDeciderGoesOnCounting() {
    GroupState once =
        GroupState.NEW
            .withRunStarted(List.of("gone"))
            .withLoss(1, 0, LossKind.CRASH_AT_START)
            .withRunStarted(List.of("a"));
    LogEntry entry = LogEntry.of(LogKey.group(GROUP), new LogContent.Group(once));
    supervisor.adopt(tableWith(job(1, false, 9), entry), nowMs, WALL_MS);
    listSilentWorker("a");
    WorkerInventory.RunningTask held =
        new WorkerInventory.RunningTask(new TaskName(ID, 0, 0, 0), 2, "", 1);
    report("a", List.of(held), List.of());
    supervisor.workerGone("a", nowMs, WALL_MS);
    assertThat(written()).hasValue(BatchState.FAILED);
  }

  // The successor finds the intent, and a worker that is gone; it counts that run once.
  @Test
  void aRunWhoseWorkerWentBeforeTheTakeOverCounts() {
    adoptActiveOn("a");
    listSilentWorker("a");
    supervisor.workerGone("a", nowMs, WALL_MS);
    assertThat(lastState().losses().get(0).lost()).isEqualTo(1);
    assertThat(lastState().losses().get(0).crashesAtStart()).isEqualTo(0);
  }

  @Test
  void anOrderThatNobodyAnsweredCountsAsLost() {
    accept(job(1, false, 9));
    for (int i = 0; i < 4; i++) {
      assertThat(written()).isEmpty();
      String worker = nextWorker();
      tick(WALL_MS);
      effects.keepAll();
      supervisor.workerGone(worker, nowMs, WALL_MS);
    }
    assertThat(written()).hasValue(BatchState.FAILED);
  }

  @Test
  void leavingAsPlannedIsNoCrash() {
    accept(job(1, false, 9));
    for (int i = 0; i < 3; i++) {
      String worker = nextWorker();
      tick(WALL_MS);
      effects.keepAll();
      answerStarts(CommandOutcome.DONE);
      supervisor.listWorker(draining(worker), nowMs);
      supervisor.workerGone(worker, nowMs, WALL_MS);
    }
    assertThat(written()).isEmpty();
    assertThat(lastState().losses()).isEmpty();
  }

  // Nothing came to its address, so it is only known to be gone once its leases have run out.
  @Test
  void aWorkerThatLeftAsPlannedAndFellSilentHasNotCrashed() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    supervisor.listWorker(draining(worker), nowMs);
    supervisor.leased(worker, nowMs + 1);
    supervisor.unlistWorker(worker, nowMs);
    nowMs += 2 * LAPSE_MS;
    tick(WALL_MS);
    assertThat(lastState().phase()).isEqualTo(GroupPhase.WAITING);
    assertThat(lastState().losses()).isEmpty();
  }

  @Test
  void aWorkerWhoseEntryWentWhileItStillAnsweredHasLeft() {
    accept(job(1, false, 9));
    String worker = nextWorker();
    tick(WALL_MS);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    supervisor.unlistWorker(worker, nowMs);
    nowMs += 10;
    report(worker, List.of(running(effects.starts.get(0))), List.of());
    supervisor.workerGone(worker, nowMs, WALL_MS);
    assertThat(lastState().losses()).isEmpty();
  }

  @Test
  void tasksOfAGangAreCountedApart() {
    GroupState state = GroupState.NEW.withRunStarted(List.of("a", "b", "c"));
    for (int run = 1; run <= 3; run++) {
      state = state.withLoss(run, run - 1, LossKind.CRASH_AT_START);
    }
    assertThat(state.hasTooManyLosses()).isFalse();
    assertThat(state.withLoss(4, 1, LossKind.CRASH_AT_START).hasTooManyLosses()).isTrue();
  }

  @Test
  void aRunCountsOnceForATask() {
    GroupState state = GroupState.NEW.withRunStarted(List.of("a"));
    state = state.withLoss(1, 0, LossKind.CRASH_AT_START).withLoss(1, 0, LossKind.CRASH_AT_START);
    assertThat(state.hasTooManyLosses()).isFalse();
  }

  @Test
  void tasksThatLastAreClearedByALongRun() {
    accept(lastingJob(1));
    crashUnderNextRun(0);
    crashUnderNextRun(40_000);
    assertThat(lastState().losses()).isEmpty();
    assertThat(written()).isEmpty();
  }

  // The decider's loop failed on the second run, which had ended with its job a moment before.
  @Test
  void aJobIsGivenUpWhileAnotherRunOfItIsStillBeingWrittenDown() {
    GroupState once =
        GroupState.NEW
            .withRunStarted(List.of("gone"))
            .withLoss(1, 0, LossKind.CRASH_AT_START)
            .withoutActiveRun(GroupPhase.WAITING);
    LogEntry entry = LogEntry.of(LogKey.group(GROUP), new LogContent.Group(once));
    supervisor.adopt(tableWith(job(2, false, 9), entry), nowMs, WALL_MS);
    listWorker("a");
    while (effects.starts.isEmpty()) {
      effects.keepNext();
    }
    assertThat(supervisor.running()).hasSize(2);
    answerStarts(CommandOutcome.DONE);
    supervisor.workerGone("a", nowMs, WALL_MS);
    assertThat(written()).hasValue(BatchState.FAILED);
    assertThat(supervisor.running()).isEmpty();
  }

  // The next crash must tell which of the two it was.
  @Test
  void suspectsOfOneCrashDoNotShareTheNextWorker() {
    SupervisorFixture fixture = new SupervisorFixture();
    fixture.listWorker("a", "r1");
    List<String> jobs = List.of("00000000000000a1", "00000000000000a2");
    for (String id : jobs) {
      BatchJob job = SupervisorFixture.job(id, SupervisorFixture.tasks(1, 1));
      fixture.accept(job);
    }
    for (StartCommand order : new ArrayList<>(fixture.effects.starts)) {
      fixture.supervisor.onStartAnswer(order, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    }
    fixture.listWorker("b", "r1");
    fixture.listWorker("c", "r1");
    fixture.supervisor.workerGone("a", fixture.nowMs, WALL_MS);
    fixture.decide();
    List<String> next = fixture.startedOn().subList(2, 4);
    assertThat(Set.copyOf(next)).containsExactly("b", "c");
  }

  private WorkerInfo draining(String id) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, 8);
    return new WorkerInfo(id, "127.0.0.1:1", "s", "z", "r", Set.of(), capacity, true);
  }

  @Test
  void callersAreToldTheReason() {
    accept(job(1, false, 9));
    crashUnderNextRun(0);
    crashUnderNextRun(0);
    Optional<String> reason =
        effects.kept.stream()
            .filter(entry -> entry.key().equals(LogKey.end(ID)))
            .flatMap(entry -> entry.content().stream())
            .map(content -> ((LogContent.End) content).reason())
            .findFirst();
    assertThat(reason.orElseThrow()).contains("has cost too many workers");
  }
}
