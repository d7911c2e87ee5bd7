package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/** A done group stays done despite late reports and the outcome of a later run. */
final class DoneGroupTest extends OneJobScenario {
  // The second run is still being stopped when the group is already done.
  @Test
  void doneGroupStaysDoneWhileItsNextRunIsStopping() {
    supervisor.adopt(tableWith(job(2, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LEASE_EXPIRY_MS + 100;
    tick(WALL_MS);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    report("b", List.of(), List.of(endedTask(1, 0, 2, EndKind.STOPPED)));
    effects.acknowledgeAll();
    assertThat(lastLoggedPhase(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
    assertThat(supervisor.acknowledgedEndNumber("b")).isEqualTo(1);
  }

  @Test
  void doneGroupStaysDoneWhenTheWorkerOfItsNextRunIsGone() {
    supervisor.adopt(tableWith(job(2, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LEASE_EXPIRY_MS + 100;
    tick(WALL_MS);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    supervisor.onWorkerGone("b", nowMs, WALL_MS);
    listWorker("c");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(lastLoggedPhase(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
    assertThat(
            effects.starts.stream()
                .filter(start -> start.worker().equals("c"))
                .map(start -> start.task().index()))
        .containsExactly(1);
  }

  @Test
  void lateFailureReportDoesNotFailADoneGroup() {
    supervisor.adopt(tableWith(job(2, false, 1), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LEASE_EXPIRY_MS + 100;
    tick(WALL_MS);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("b", List.of(), List.of(endedTask(1, 0, 2, EndKind.DONE)));
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.FAILED)));
    effects.acknowledgeAll();
    assertThat(loggedEndState()).isEmpty();
    assertThat(lastLoggedPhase(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
  }

  // The next run is planned and waits for its victim to stop when the end is reported.
  @Test
  void doneGroupIsNotRequeuedByARunThatWaitsForCapacity() {
    BatchJob urgent = job(ID, step(2, false, false, 8), Optional.empty(), 0, 2);
    BatchJob lowerPriorityJob =
        job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 1, 2);
    supervisor.adopt(tableWith(urgent, activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    listWorker("c");
    accept(lowerPriorityJob);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    assertThat(effects.starts).hasSize(2);
    nowMs = LEASE_EXPIRY_MS + 100;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(1);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    String stoppedOn = effects.stops.get(0).worker();
    report(
        stoppedOn,
        List.of(),
        List.of(
            new WorkerInventory.EndedTask(
                1, new TaskName("00000000000000bb", 0, 0, 0), 1, EndKind.STOPPED, "")));
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(
            effects.starts.stream().filter(start -> start.task().equals(new TaskName(ID, 0, 0, 0))))
        .isEmpty();
  }
}
