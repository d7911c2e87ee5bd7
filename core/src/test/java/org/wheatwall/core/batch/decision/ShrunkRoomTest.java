package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Workers say that they have less room than before, and later more again, while work runs there.
 * Some start whatever they are told, so a start that counts on room that is gone takes it from work
 * that runs.
 */
final class ShrunkRoomTest {
  private static final String FIRST = "00000000000000a1";
  private static final String SECOND = "00000000000000a2";
  private static final String URGENT = "00000000000000a3";
  private static final int FAILURES = 10;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();
  private long ends;

  private void room(String worker, int accelerators) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, accelerators);
    fixture.supervisor.listWorker(
        new WorkerInfo(worker, "127.0.0.1:1", "s", "z", "r1", Set.of(), capacity, false),
        fixture.nowMs);
    fixture.decide();
  }

  private void accept(String id, int tasks, int accelerators) {
    fixture.accept(SupervisorFixture.job(id, SupervisorFixture.tasks(tasks, accelerators)));
  }

  private void end(StartOrder order, EndKind kind) {
    fixture.nowMs += 500;
    WorkerInventory.EndedTask end =
        new WorkerInventory.EndedTask(++ends, order.task(), order.run(), kind, "");
    fixture.supervisor.onReport(
        order.worker(),
        new WorkerInventory(fixture.nowMs, List.of(), List.of(end)),
        fixture.nowMs,
        fixture.nowMs,
        WALL_MS);
    fixture.decide();
  }

  @Test
  void nothingStartsInRoomThatIsGone() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 1, 4);
    room("a", 6);
    accept(SECOND, 1, 4);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  @Test
  void whatRunsAboveTheRoomLeavesNoneForMore() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 2, 4);
    room("a", 2);
    end(fixture.effects.starts.get(0), EndKind.DONE);
    accept(SECOND, 1, 1);
    assertThat(fixture.startedOn()).hasSize(2);
  }

  // The answer to a start was lost, the room shrank, and the start was sent again as it was.
  @Test
  void startWithoutAnAnswerLooksAtTheRoomBeforeItIsRepeated() {
    fixture.listWorker("a", "r1");
    accept(FIRST, 1, 4);
    room("a", 3);
    StartOrder order = fixture.effects.starts.get(0);
    fixture.supervisor.onStartAnswer(order, OrderAnswer.UNKNOWN, fixture.nowMs, WALL_MS);
    fixture.decide();
    assertThat(fixture.effects.starts).hasSize(1);
    assertThat(fixture.effects.stops).hasSize(1);
  }

  @Test
  void roomThatComesBackIsUsed() {
    fixture.listWorker("a", "r1");
    room("a", 2);
    accept(FIRST, 1, 4);
    assertThat(fixture.startedOn()).isEmpty();
    room("a", 8);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  @Test
  void workThatWaitsForStopsLooksAtTheRoomOnceMore() {
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
    room("a", 4);
    end(fixture.effects.starts.get(0), EndKind.STOPPED);
    assertThat(fixture.startedOn()).containsExactly("a");
  }

  private void acceptAndIntend(String id, int accelerators) {
    BatchJob job = SupervisorFixture.job(id, SupervisorFixture.tasks(1, accelerators));
    fixture.supervisor.accept(job, fixture.nowMs, WALL_MS);
    fixture.supervisor.decide(fixture.nowMs, WALL_MS);
    assertThat(fixture.supervisor.running()).hasSize(1);
  }

  // With a slow store seconds pass between the intent and its order.
  @Test
  void roomThatGoesWhileTheIntentIsWrittenIsNotCountedOn() {
    fixture.listWorker("a", "r1");
    acceptAndIntend(FIRST, 8);
    room("a", 4);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void aWorkerThatIsAboutToLeaveGetsNoOrderThatWasIntendedBefore() {
    fixture.listWorker("a", "r1");
    acceptAndIntend(FIRST, 1);
    ResourceAmount capacity = new ResourceAmount(1000, 100, 8);
    fixture.supervisor.listWorker(
        new WorkerInfo("a", "127.0.0.1:1", "s", "z", "r1", Set.of(), capacity, true),
        fixture.nowMs);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void aGangIsKeptInOneRackAgainOnceItsRoomIsBack() {
    fixture.listWorker("a", "r1");
    fixture.listWorker("b", "r1");
    fixture.listWorker("c", "r2");
    room("a", 4);
    accept(FIRST, 3, 4);
    fixture.accept(SupervisorFixture.job(SECOND, SupervisorFixture.rackGang(2, 8)));
    room("a", 8);
    for (StartOrder order : List.copyOf(fixture.effects.starts)) {
      end(order, EndKind.DONE);
    }
    List<String> gang =
        fixture.effects.starts.stream()
            .filter(order -> order.task().equals(new TaskName(SECOND, 0, 0, order.task().index())))
            .map(StartOrder::worker)
            .toList();
    assertThat(gang).containsExactly("a", "b");
  }

  // The scheduler's host was made anew with each change of its room, in use and trusted.
  @Test
  void aWorkerThatFailsAllItStartsStaysOutWhenItsRoomChanges() {
    fixture.listWorker("a", "r1");
    for (int i = 0; i < FAILURES; i++) {
      fixture.supervisor.scheduler().taskFailed("a", fixture.nowMs);
    }
    assertThat(fixture.supervisor.scheduler().cluster().host("a").orElseThrow().usable()).isFalse();
    room("a", 6);
    assertThat(fixture.supervisor.scheduler().cluster().host("a").orElseThrow().usable()).isFalse();
  }
}
