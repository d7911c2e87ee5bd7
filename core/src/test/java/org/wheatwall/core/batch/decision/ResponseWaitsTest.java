package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
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
import org.wheatwall.core.batch.model.LossKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Guards against jobs that fail although they crash nothing: their starts were sent to workers that
 * had crashed unnoticed, and each such start counted as a worker lost.
 */
final class ResponseWaitsTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final String OTHER_ID = "00000000000000bb";
  private static final int IDLE_MS = 900;
  private static final int IDLE_LONG_MS = 2000;

  private int workers;

  // No usable worker is listed, so that the first run is planned on the next one.
  private void adoptSuspectJob() {
    GroupState suspect =
        GroupState.NEW
            .withRunStarted(List.of("gone"))
            .withLoss(1, 0, LossKind.UNANSWERED_START)
            .withoutActiveRun(GroupPhase.WAITING);
    LogEntry entry = LogEntry.of(LogKey.group(GROUP), new LogContent.Group(suspect));
    supervisor.adopt(tableWith(job(1, false, 9), entry), nowMs, WALL_MS);
    tick(WALL_MS);
  }

  // No evacuations are known until it has been idle for a while, so nothing is planned there
  // before.
  private String listIdleWorker(int idleMs) {
    String id = "worker" + workers++;
    supervisor.setEvacuatedZones(Optional.empty(), nowMs);
    listWorker(id);
    nowMs += idleMs;
    supervisor.setEvacuatedZones(Optional.of(Set.of()), nowMs);
    tick(WALL_MS);
    effects.acknowledgeAll();
    return id;
  }

  private int lostRuns() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.group(GROUP)))
        .flatMap(entry -> entry.content().stream())
        .map(content -> ((LogContent.Group) content).state().losses().get(0).lost())
        .reduce(1, (first, second) -> second);
  }

  @Test
  void workersThatCrashedBeforeTheStartDoNotCountAsLost() {
    adoptSuspectJob();
    for (int i = 0; i < 4; i++) {
      String worker = listIdleWorker(IDLE_LONG_MS);
      supervisor.onCallUnanswered(worker, nowMs);
      supervisor.onWorkerGone(worker, nowMs, WALL_MS);
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
    assertThat(loggedEndState()).isEmpty();
    assertThat(effects.starts).isEmpty();
    assertThat(lostRuns()).isEqualTo(1);
  }

  @Test
  void suspectJobStartsOnceItsWorkerHasResponded() {
    adoptSuspectJob();
    String worker = listIdleWorker(IDLE_MS);
    assertThat(effects.starts).isEmpty();
    assertThat(effects.requestedReports).contains(worker);
    report(worker, List.of(), List.of());
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.starts.get(0).worker()).isEqualTo(worker);
  }

  @Test
  void startsOfOtherJobsAreNotDelayed() {
    accept(job(1, false, 9));
    listIdleWorker(IDLE_LONG_MS);
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void workerThatJustRespondedIsNotAskedAgain() {
    adoptSuspectJob();
    listWorker("worker");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void suspectJobIsPlacedElsewhereOnceItsWorkerFailsToRespond() {
    adoptSuspectJob();
    String silent = listIdleWorker(IDLE_MS);
    supervisor.onCallUnanswered(silent, nowMs);
    tick(WALL_MS);
    listWorker("other");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(StartCommand::worker)).containsExactly("other");
  }

  @Test
  void suspectJobIsPlannedAnewIfItsWorkerNeitherRespondsNorFails() {
    adoptSuspectJob();
    listIdleWorker(IDLE_MS);
    for (int i = 0; i <= PendingStarts.MAX_LAUNCH_WAIT_MS; i += 100) {
      nowMs += 100;
      tick(WALL_MS);
    }
    assertThat(
            effects.events.stream()
                .filter(event -> event.kind() == RunEvent.Kind.RUN_STOPPING)
                .map(RunEvent::reason)
                .toList())
        .contains("its workers have not responded after 1000 ms");
  }

  // A start without an answer may have crashed the worker, so it still counts.
  @Test
  void workerThatRespondedAndCrashedAtTheStartCountsAsLost() {
    adoptSuspectJob();
    for (int i = 0; i < 3; i++) {
      assertThat(loggedEndState()).isEmpty();
      String worker = listIdleWorker(IDLE_LONG_MS);
      report(worker, List.of(), List.of());
      effects.acknowledgeAll();
      StartCommand command = effects.starts.get(effects.starts.size() - 1);
      supervisor.onStartOutcome(command, CommandOutcome.UNKNOWN, nowMs, WALL_MS);
      supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    }
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
  }

  // Its start has not been answered, so no call to the worker need have failed since its crash.
  @Test
  void startOfAnotherJobDoesNotReplaceTheResponseOfItsWorker() {
    adoptSuspectJob();
    supervisor.accept(
        job(OTHER_ID, step(1, false, false, 1), Optional.empty(), 0, 9), nowMs, WALL_MS);
    listIdleWorker(IDLE_MS);
    assertThat(effects.starts.stream().map(command -> command.task().jobId()))
        .containsExactly(OTHER_ID);
  }

  // The log may take seconds, and the crash of an idle worker is noticed by then.
  @Test
  void startIsNotSentToAWorkerThatFellSilentWhileItsRecordWasWritten() {
    adoptSuspectJob();
    listWorker("worker");
    tick(WALL_MS);
    supervisor.onCallUnanswered("worker", nowMs);
    effects.acknowledgeAll();
    assertThat(effects.starts).isEmpty();
    supervisor.onWorkerGone("worker", nowMs, WALL_MS);
    assertThat(lostRuns()).isEqualTo(1);
  }

  // The call to it is late; it may take long to fail.
  @Test
  void suspectJobIsPlacedElsewhereOnceTheResponseOfItsWorkerIsLate() {
    adoptSuspectJob();
    String late = listIdleWorker(IDLE_MS);
    supervisor.onWorkerUnreachable(late, "its answer is late", nowMs);
    listWorker("other");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(StartCommand::worker)).containsExactly("other");
  }

  // Its other workers would have to respond within the rest of the wait for the victims.
  @Test
  void responsesDuringTheWaitForVictimsCount() {
    GroupKey gang = new GroupKey(ID, 0, 0, GroupKey.WHOLE_STEP);
    GroupState suspect =
        GroupState.NEW
            .withRunStarted(List.of("gone", "away"))
            .withLoss(1, 0, LossKind.UNANSWERED_START)
            .withoutActiveRun(GroupPhase.WAITING);
    LogEntry entry = LogEntry.of(LogKey.group(gang), new LogContent.Group(suspect));
    BatchJob urgent = job(ID, step(2, true, false, 8), Optional.empty(), 0, 9);
    supervisor.adopt(tableWith(urgent, entry), nowMs, WALL_MS);
    accept(job(OTHER_ID, step(1, false, false, 8), Optional.empty(), 1, 9));
    listWorker("a");
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    listWorker("b");
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(1);
    report("b", List.of(), List.of());
    nowMs += 400;
    WorkerInventory.EndedTask end =
        new WorkerInventory.EndedTask(1, new TaskName(OTHER_ID, 0, 0, 0), 1, EndKind.STOPPED, "");
    report("a", List.of(), List.of(end));
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(StartCommand::worker)).containsExactly("a", "a", "b");
  }

  // The confirmation of its task is a response, and a call to it has been pending since.
  @Test
  void suspectJobNeedNotWaitForAWorkerThatRunsAnotherTask() {
    adoptSuspectJob();
    supervisor.accept(
        job(OTHER_ID, step(1, false, false, 1), Optional.empty(), 0, 9), nowMs, WALL_MS);
    listIdleWorker(IDLE_MS);
    resolveStarts(CommandOutcome.DONE);
    for (int i = 0; i <= PendingStarts.MAX_LAUNCH_WAIT_MS; i += 100) {
      nowMs += 100;
      tick(WALL_MS);
    }
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(command -> command.task().jobId()))
        .containsExactly(OTHER_ID, ID);
  }
}
