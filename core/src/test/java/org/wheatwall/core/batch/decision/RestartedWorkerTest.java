package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskLosses;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.batch.model.WorkerLife;

/** What was learned of one life of a worker was used for the next one under its identifier. */
final class RestartedWorkerTest extends OneJobScenario {
  private static final String FIRST = WorkerLife.bornAt("a", 1).name();
  private static final String SECOND = WorkerLife.bornAt("a", 2).name();
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final int REPEAT_MS = 1000;

  private StartOrder startOn(String worker, OrderAnswer answer) {
    listWorker(worker);
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    StartOrder order = effects.starts.get(effects.starts.size() - 1);
    assertThat(order.worker()).isEqualTo(worker);
    supervisor.onStartOutcome(order, answer, nowMs, WALL_MS);
    return order;
  }

  private static WorkerInventory.RunningTask running(StartOrder order) {
    return new WorkerInventory.RunningTask(order.task(), order.run(), "", 10);
  }

  private static WorkerInventory.RunningTask firstRun() {
    return new WorkerInventory.RunningTask(new TaskName(ID, 0, 0, 0), 1, "", 5);
  }

  private List<RunEvent> events(RunEvent.Kind kind) {
    return effects.events.stream().filter(event -> event.kind() == kind).toList();
  }

  private int lostWorkers() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.group(GROUP)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.Group) content).state())
        .reduce((first, second) -> second)
        .map(state -> state.losses().stream().mapToInt(TaskLosses::lost).sum())
        .orElse(0);
  }

  @Test
  void endsOfTheNextLifeAreTakenInThoughTheirNumbersBeginAnew() {
    listWorker(FIRST);
    report(FIRST, List.of(), List.of(endedTask(3, 5, 1, EndKind.STOPPED)));
    effects.acknowledgeAll();
    startOn(SECOND, OrderAnswer.DONE);
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
    effects.acknowledgeAll();
    assertThat(supervisor.acknowledgedEndNumber(SECOND)).isEqualTo(1);
  }

  @Test
  void theNumberOfEndsIsForgottenWithItsWorker() {
    listWorker(FIRST);
    report(FIRST, List.of(), List.of(endedTask(3, 5, 1, EndKind.STOPPED)));
    effects.acknowledgeAll();
    supervisor.unlistWorker(FIRST, nowMs);
    listWorker(FIRST);
    assertThat(supervisor.needsReports(FIRST)).isFalse();
  }

  @Test
  void whatRanIsOverAndCountsAsACrash() {
    StartOrder order = startOn(FIRST, OrderAnswer.DONE);
    report(FIRST, List.of(running(order)), List.of());
    listWorker(SECOND);
    effects.acknowledgeAll();
    assertThat(lostWorkers()).isEqualTo(1);
    assertThat(effects.starts).hasSize(2);
    assertThat(effects.starts.get(1).worker()).isEqualTo(SECOND);
    assertThat(effects.starts.get(1).run()).isEqualTo(2);
    assertThat(events(RunEvent.Kind.WORKER_RESTARTED).get(0).reason())
        .contains("it was " + FIRST + ", it held 1, " + ID + ".0.0.0 run 1");
  }

  @Test
  void aStartWithoutAnAnswerIsStoppedAtTheNextLifeBeforeItsTaskStartsAgain() {
    StartOrder order = startOn(FIRST, OrderAnswer.UNKNOWN);
    listWorker(SECOND);
    StopOrder stop = new StopOrder(SECOND, order.task(), order.run());
    assertThat(effects.stops).contains(stop);
    report(SECOND, List.of(), List.of());
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).isEmpty();
    supervisor.onStopOutcome(stop, OrderAnswer.DONE, nowMs, WALL_MS);
    report(SECOND, List.of(), List.of());
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).hasSize(1);
  }

  @Test
  void aStartThatTheNextLifeTookIsDoneThere() {
    StartOrder order = startOn(FIRST, OrderAnswer.DONE);
    listUnreportedWorker(SECOND);
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).isEmpty();
    report(SECOND, List.of(running(order)), List.of());
    assertThat(lostWorkers()).isEqualTo(0);
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void aStopThatAnEarlierLifeAcknowledgedProvesNothingOfTheNext() {
    StartOrder order = startOn(FIRST, OrderAnswer.UNKNOWN);
    supervisor.cancel(ID, nowMs, WALL_MS);
    StopOrder stop = new StopOrder(FIRST, order.task(), order.run());
    supervisor.onStopOutcome(stop, OrderAnswer.DONE, nowMs, WALL_MS);
    listUnreportedWorker(SECOND);
    assertThat(effects.stops).contains(new StopOrder(SECOND, order.task(), order.run()));
    report(SECOND, List.of(), List.of());
    assertThat(supervisor.runningGroups()).isNotEmpty();
  }

  @Test
  void aStartThatWasNotAnsweredIsStoppedAtTheNextLifeThoughItsTaskIsDone() {
    StartOrder order = startOn(FIRST, OrderAnswer.UNKNOWN);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    effects.acknowledgeAll();
    listWorker(SECOND);
    StopOrder stop = new StopOrder(SECOND, order.task(), order.run());
    assertThat(effects.stops).contains(stop);
    int sent = effects.stops.size();
    nowMs += REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent + 1);
    supervisor.onStopOutcome(stop, OrderAnswer.DONE, nowMs, WALL_MS);
    nowMs += REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent + 1);
  }

  // A worker that never answers was told to stop what was sent to its earlier life for ever.
  @Test
  void aStopIsNotRepeatedOnceTheStartCanNoLongerArrive() {
    startOn(FIRST, OrderAnswer.UNKNOWN);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    effects.acknowledgeAll();
    listWorker(SECOND);
    nowMs += UnansweredStarts.MAX_EXECUTION_DELAY_MS;
    tick(WALL_MS);
    int sent = effects.stops.size();
    nowMs += REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent);
  }

  @Test
  void anEntryOfAnEarlierLifeThatComesLateChangesNothing() {
    listWorker(SECOND);
    listUnreportedWorker(FIRST);
    assertThat(supervisor.workerInfo(FIRST)).isEmpty();
    assertThat(supervisor.usableWorkersIn("z")).containsExactly(SECOND);
  }

  @Test
  void aReportOfAnEarlierLifeThatComesLateChangesNothing() {
    StartOrder order = startOn(FIRST, OrderAnswer.DONE);
    report(FIRST, List.of(running(order)), List.of());
    listUnreportedWorker(SECOND);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.FAILED)));
    assertThat(events(RunEvent.Kind.TASK_FAILED)).isEmpty();
    assertThat(supervisor.workersInUse()).doesNotContain(FIRST);
  }

  @Test
  void anAnswerOfALaterLifeListsItBeforeItsEntryDoes() {
    listWorker(FIRST);
    supervisor.onWorkerRestarted(FIRST, 2, nowMs);
    assertThat(supervisor.workerInfo(SECOND)).isPresent();
    assertThat(supervisor.workerInfo(FIRST)).isEmpty();
    assertThat(supervisor.usableWorkersIn("z")).isEmpty();
    supervisor.unlistWorker(FIRST, nowMs);
    assertThat(supervisor.silentWorkers()).isEmpty();
  }

  @Test
  void theNextDeciderEndsWhatRanInALifeThatIsOver() {
    adoptJobActiveOn(FIRST);
    listWorker(SECOND);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).hasSize(1);
    assertThat(lostWorkers()).isEqualTo(1);
  }

  @Test
  void theNextDeciderListsNoLifeThatIsOverByTheLog() {
    adoptJobActiveOn(SECOND);
    listUnreportedWorker(FIRST);
    assertThat(supervisor.silentWorkers()).isEmpty();
    listUnreportedWorker(SECOND);
    report(SECOND, List.of(firstRun()), List.of());
    assertThat(events(RunEvent.Kind.RUN_STOPPING)).isEmpty();
  }

  @Test
  void aRecordThatDoesNotNameTheLifeMeansTheOneThatIsListed() {
    adoptJobActiveOn("a");
    listUnreportedWorker(SECOND);
    report(SECOND, List.of(firstRun()), List.of());
    assertThat(events(RunEvent.Kind.RUN_STOPPING)).isEmpty();
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }
}
