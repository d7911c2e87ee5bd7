package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Workers announce less capacity than before, and later more again, while tasks run on them. Some
 * workers execute every start they receive, so a start that relies on removed capacity takes
 * resources from running tasks.
 */
final class ShrunkCapacityTest {
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000a2";
  private static final String URGENT = "00000000000000a3";
  private static final int FAILURES = 10;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();
  private long ends;

  private void setCapacity(String worker, int accelerators) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, accelerators);
    fixture.supervisor.listWorker(
        new WorkerInfo(worker, "127.0.0.1:1", "s", "z", "r1", Set.of(), capacity, false),
        fixture.nowMs);
    fixture.decide();
  }

  private void accept(String id, int tasks, int accelerators) {
    fixture.accept(SupervisorFixture.job(id, SupervisorFixture.tasks(tasks, accelerators)));
  }

  private void reportEnd(StartCommand command, EndKind kind) {
    fixture.nowMs += 500;
    WorkerInventory.EndedTask endedTask =
        new WorkerInventory.EndedTask(++ends, command.task(), command.run(), kind, "");
    fixture.supervisor.onReport(
        command.worker(),
        new WorkerInventory(fixture.nowMs, List.of(), List.of(endedTask)),
        fixture.nowMs,
        fixture.nowMs,
        WALL_MS);
    fixture.decide();
  }

  @Test
  void nothingStartsInRemovedCapacity() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 1, 4);
    setCapacity("a", 6);
    accept(SECOND, 1, 4);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  @Test
  void usageAboveCapacityPreventsFurtherStarts() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 2, 4);
    setCapacity("a", 2);
    reportEnd(fixture.effects.starts.get(0), EndKind.DONE);
    accept(SECOND, 1, 1);
    assertThat(fixture.startedOn()).hasSize(2);
  }

  // The response to a start is lost and the capacity shrinks; the start must not be resent.
  @Test
  void unansweredStartIsRetriedOnlyIfCapacityRemains() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 1, 4);
    setCapacity("a", 3);
    StartCommand command = fixture.effects.starts.get(0);
    fixture.supervisor.onStartOutcome(command, CommandOutcome.UNKNOWN, fixture.nowMs, WALL_MS);
    fixture.decide();
    assertThat(fixture.effects.starts).hasSize(1);
    assertThat(fixture.effects.stops).hasSize(1);
  }

  @Test
  void restoredCapacityIsUsed() {
    fixture.listWorker("a", "r1");
    setCapacity("a", 2);
    accept(FIRST, 1, 4);
    assertThat(fixture.startedOn()).isEmpty();
    setCapacity("a", 8);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  @Test
  void runThatWaitsForVictimsChecksCapacityAgain() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 1, 8);
    fixture.accept(
        new BatchJob(
            URGENT,
            SupervisorFixture.QUEUE,
            "s",
            "w",
            "",
            List.of(SupervisorFixture.tasks(1, 8)),
            Optional.empty(),
            0,
            2,
            WALL_MS));
    assertThat(fixture.effects.stops).hasSize(1);
    setCapacity("a", 4);
    reportEnd(fixture.effects.starts.get(0), EndKind.STOPPED);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  private void acceptAndPlan(String id, int accelerators) {
    BatchJob job = SupervisorFixture.job(id, SupervisorFixture.tasks(1, accelerators));
    fixture.supervisor.accept(job, fixture.nowMs, WALL_MS);
    fixture.supervisor.decide(fixture.nowMs, WALL_MS);
    assertThat(fixture.supervisor.runningGroups()).hasSize(1);
  }

  // With a slow log store, seconds pass between logging the intent and sending the start.
  @Test
  void capacityRemovedWhileTheIntentIsLoggedIsNotUsed() {
    fixture.listWorker("a", "r1");
    acceptAndPlan(FIRST, 8);
    setCapacity("a", 4);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void drainingWorkerReceivesNoStartPlannedBefore() {
    fixture.listWorker("a", "r1");
    acceptAndPlan(FIRST, 1);
    ResourceAmount capacity = new ResourceAmount(1000, 100, 8);
    fixture.supervisor.listWorker(
        new WorkerInfo("a", "127.0.0.1:1", "s", "z", "r1", Set.of(), capacity, true),
        fixture.nowMs);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void gangIsPlacedInOneRackOnceItsCapacityIsRestored() {
    fixture.listWorker("a", "r1");
    fixture.listWorker("b", "r1");
    fixture.listWorker("c", "r2");
    setCapacity("a", 4);
    accept(FIRST, 3, 4);
    fixture.accept(SupervisorFixture.job(SECOND, SupervisorFixture.rackGang(2, 8)));
    setCapacity("a", 8);
    for (StartCommand command : List.copyOf(fixture.effects.starts)) {
      reportEnd(command, EndKind.DONE);
    }
    List<String> gang =
        fixture.effects.starts.stream()
            .filter(
                command ->
                    command.task().equals(new TaskName(SECOND, 0, 0, command.task().index())))
            .map(StartCommand::worker)
            .toList();
    assertThat(gang).containsExactly("a", "b");
  }

  // A capacity change must not recreate the scheduler's host of the worker as usable and trusted.
  @Test
  void quarantinedWorkerStaysUnusableWhenItsCapacityChanges() {
    fixture.listWorker("a", "r1");
    for (int i = 0; i < FAILURES; i++) {
      fixture.supervisor.scheduler().taskFailed("a", fixture.nowMs);
    }
    assertThat(fixture.supervisor.scheduler().cluster().host("a").orElseThrow().usable()).isFalse();
    setCapacity("a", 6);
    assertThat(fixture.supervisor.scheduler().cluster().host("a").orElseThrow().usable()).isFalse();
  }
}
