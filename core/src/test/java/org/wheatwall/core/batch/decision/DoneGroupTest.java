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

/** What is done stays done, whatever is heard of late or of a later run. */
final class DoneGroupTest extends OneJobScenario {
  // The second run is still being stopped while the group is done already.
  @Test
  void aGroupThatIsDoneStaysDoneWhileItsNextRunIsStopped() {
    supervisor.adopt(tableWith(job(2, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LAPSE_MS + 100;
    tick(WALL_MS);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    report("b", List.of(), List.of(end(1, 0, 2, EndKind.STOPPED)));
    effects.keepAll();
    assertThat(lastStateOf(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
    assertThat(supervisor.acknowledged("b")).isEqualTo(1);
  }

  @Test
  void aGroupThatIsDoneStaysDoneWhenTheWorkerOfItsNextRunGoes() {
    supervisor.adopt(tableWith(job(2, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LAPSE_MS + 100;
    tick(WALL_MS);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    supervisor.workerGone("b", nowMs, WALL_MS);
    listWorker("c");
    tick(WALL_MS);
    effects.keepAll();
    assertThat(lastStateOf(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
    assertThat(
            effects.starts.stream()
                .filter(start -> start.worker().equals("c"))
                .map(start -> start.task().index()))
        .containsExactly(1);
  }

  @Test
  void aFailureThatIsHeardOfLateDoesNotFailAGroupThatIsDone() {
    supervisor.adopt(tableWith(job(2, false, 1), activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    nowMs = LAPSE_MS + 100;
    tick(WALL_MS);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("b", List.of(), List.of(end(1, 0, 2, EndKind.DONE)));
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.FAILED)));
    effects.keepAll();
    assertThat(written()).isEmpty();
    assertThat(lastStateOf(new GroupKey(ID, 0, 0, 0))).hasValue(GroupPhase.DONE);
  }

  // The next run was planned, and waits for another job to be stopped, when the end is heard of.
  @Test
  void aGroupThatIsDoneIsNotQueuedAgainByARunThatWaitsForRoom() {
    BatchJob urgent = job(ID, step(2, false, false, 8), Optional.empty(), 0, 2);
    BatchJob lower = job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 1, 2);
    supervisor.adopt(tableWith(urgent, activeOn("a")), nowMs, WALL_MS);
    listWorker("b");
    listWorker("c");
    accept(lower);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    assertThat(effects.starts).hasSize(2);
    nowMs = LAPSE_MS + 100;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(1);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    String stoppedOn = effects.stops.get(0).worker();
    report(
        stoppedOn,
        List.of(),
        List.of(
            new WorkerInventory.EndedTask(
                1, new TaskName("00000000000000bb", 0, 0, 0), 1, EndKind.STOPPED, "")));
    tick(WALL_MS);
    effects.keepAll();
    assertThat(
            effects.starts.stream().filter(start -> start.task().equals(new TaskName(ID, 0, 0, 0))))
        .isEmpty();
  }
}
