package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskLosses;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.batch.model.WorkerInventory;

/** The state of one incarnation of a worker is not applied to the next under its identifier. */
final class RestartedWorkerTest extends OneJobScenario {
  private static final String FIRST = WorkerIncarnation.startedAt("a", 1).name();
  private static final String SECOND = WorkerIncarnation.startedAt("a", 2).name();
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final int STOP_REPEAT_MS = 1000;

  private StartCommand startOn(String worker, CommandOutcome outcome) {
    listWorker(worker);
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    StartCommand command = effects.starts.get(effects.starts.size() - 1);
    assertThat(command.worker()).isEqualTo(worker);
    supervisor.onStartOutcome(command, outcome, nowMs, WALL_MS);
    return command;
  }

  private static WorkerInventory.RunningTask running(StartCommand command) {
    return new WorkerInventory.RunningTask(command.task(), command.run(), "", 10);
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
  void endsOfTheNextIncarnationAreProcessedThoughTheirNumbersRestart() {
    listWorker(FIRST);
    report(FIRST, List.of(), List.of(endedTask(3, 5, 1, EndKind.STOPPED)));
    effects.acknowledgeAll();
    startOn(SECOND, CommandOutcome.DONE);
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
    effects.acknowledgeAll();
    assertThat(supervisor.acknowledgedEndNumber(SECOND)).isEqualTo(1);
  }

  @Test
  void theNumberOfProcessedEndsIsDroppedWithItsWorker() {
    listWorker(FIRST);
    report(FIRST, List.of(), List.of(endedTask(3, 5, 1, EndKind.STOPPED)));
    effects.acknowledgeAll();
    supervisor.unlistWorker(FIRST, nowMs);
    listWorker(FIRST);
    assertThat(supervisor.needsReports(FIRST)).isFalse();
  }

  @Test
  void runsOfTheEarlierIncarnationEndAndCountAsCrashed() {
    StartCommand command = startOn(FIRST, CommandOutcome.DONE);
    report(FIRST, List.of(running(command)), List.of());
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
  void aStartWithoutAResponseIsStoppedOnTheNextIncarnationBeforeARestart() {
    StartCommand command = startOn(FIRST, CommandOutcome.UNKNOWN);
    listWorker(SECOND);
    StopCommand stop = new StopCommand(SECOND, command.task(), command.run());
    assertThat(effects.stops).contains(stop);
    report(SECOND, List.of(), List.of());
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).isEmpty();
    supervisor.onStopOutcome(stop, CommandOutcome.DONE, nowMs, WALL_MS);
    report(SECOND, List.of(), List.of());
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).hasSize(1);
  }

  @Test
  void aStartAcceptedByTheNextIncarnationIsDoneThere() {
    StartCommand command = startOn(FIRST, CommandOutcome.DONE);
    listUnreportedWorker(SECOND);
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).isEmpty();
    report(SECOND, List.of(running(command)), List.of());
    assertThat(lostWorkers()).isEqualTo(0);
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void aStopAcknowledgedByAnEarlierIncarnationIsRepeatedOnTheNext() {
    StartCommand command = startOn(FIRST, CommandOutcome.UNKNOWN);
    supervisor.cancel(ID, nowMs, WALL_MS);
    StopCommand stop = new StopCommand(FIRST, command.task(), command.run());
    supervisor.onStopOutcome(stop, CommandOutcome.DONE, nowMs, WALL_MS);
    listUnreportedWorker(SECOND);
    assertThat(effects.stops).contains(new StopCommand(SECOND, command.task(), command.run()));
    report(SECOND, List.of(), List.of());
    assertThat(supervisor.runningGroups()).isNotEmpty();
  }

  @Test
  void aStartWithoutAResponseIsStoppedOnTheNextIncarnationThoughItsTaskIsDone() {
    StartCommand command = startOn(FIRST, CommandOutcome.UNKNOWN);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    effects.acknowledgeAll();
    listWorker(SECOND);
    StopCommand stop = new StopCommand(SECOND, command.task(), command.run());
    assertThat(effects.stops).contains(stop);
    int sent = effects.stops.size();
    nowMs += STOP_REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent + 1);
    supervisor.onStopOutcome(stop, CommandOutcome.DONE, nowMs, WALL_MS);
    nowMs += STOP_REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent + 1);
  }

  // Stops of starts sent to an earlier incarnation must not be repeated forever to a worker that
  // never responds.
  @Test
  void aStopIsNotRepeatedOnceTheStartCanNoLongerArrive() {
    startOn(FIRST, CommandOutcome.UNKNOWN);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    effects.acknowledgeAll();
    listWorker(SECOND);
    nowMs += UnansweredStarts.MAX_EXECUTION_DELAY_MS;
    tick(WALL_MS);
    int sent = effects.stops.size();
    nowMs += STOP_REPEAT_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(sent);
  }

  @Test
  void aDelayedListingOfAnEarlierIncarnationChangesNothing() {
    listWorker(SECOND);
    listUnreportedWorker(FIRST);
    assertThat(supervisor.workerInfo(FIRST)).isEmpty();
    assertThat(supervisor.usableWorkersIn("z")).containsExactly(SECOND);
  }

  @Test
  void aDelayedReportOfAnEarlierIncarnationChangesNothing() {
    StartCommand command = startOn(FIRST, CommandOutcome.DONE);
    report(FIRST, List.of(running(command)), List.of());
    listUnreportedWorker(SECOND);
    report(FIRST, List.of(), List.of(endedTask(1, 0, 1, EndKind.FAILED)));
    assertThat(events(RunEvent.Kind.TASK_FAILED)).isEmpty();
    assertThat(supervisor.workersInUse()).doesNotContain(FIRST);
  }

  @Test
  void aResponseOfALaterIncarnationListsItBeforeThePlatformDoes() {
    listWorker(FIRST);
    supervisor.onWorkerRestarted(FIRST, 2, nowMs);
    assertThat(supervisor.workerInfo(SECOND)).isPresent();
    assertThat(supervisor.workerInfo(FIRST)).isEmpty();
    assertThat(supervisor.usableWorkersIn("z")).isEmpty();
    supervisor.unlistWorker(FIRST, nowMs);
    assertThat(supervisor.silentWorkers()).isEmpty();
  }

  @Test
  void theNextDeciderEndsRunsOfASupersededIncarnation() {
    adoptJobActiveOn(FIRST);
    listWorker(SECOND);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
    assertThat(events(RunEvent.Kind.GROUP_INTERRUPTED)).hasSize(1);
    assertThat(lostWorkers()).isEqualTo(1);
  }

  @Test
  void theNextDeciderListsNoIncarnationThatTheLogShowsAsSuperseded() {
    adoptJobActiveOn(SECOND);
    listUnreportedWorker(FIRST);
    assertThat(supervisor.silentWorkers()).isEmpty();
    listUnreportedWorker(SECOND);
    report(SECOND, List.of(firstRun()), List.of());
    assertThat(events(RunEvent.Kind.RUN_STOPPING)).isEmpty();
  }

  @Test
  void aRecordWithoutAnIncarnationBelongsToTheListedOne() {
    adoptJobActiveOn("a");
    listUnreportedWorker(SECOND);
    report(SECOND, List.of(firstRun()), List.of());
    assertThat(events(RunEvent.Kind.RUN_STOPPING)).isEmpty();
    report(SECOND, List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }
}
