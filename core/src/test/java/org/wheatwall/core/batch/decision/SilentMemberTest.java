package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A gang with a silent worker releases the capacity of its other workers once its tasks have ended
 * there.
 */
final class SilentMemberTest {
  private static final String OTHER_JOB = "00000000000000bb";
  private static final int WHOLE_WORKER = SupervisorFixture.WORKER_ACCELERATORS;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  @BeforeEach
  void startGangOnTwoWorkers() {
    fixture.listWorker("a", "r1");
    fixture.listWorker("b", "r1");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(2, WHOLE_WORKER)));
    assertThat(fixture.startedOn()).containsExactly("a", "b");
  }

  private void reportEnd(String worker, EndKind kind) {
    int index = fixture.startedOn().indexOf(worker);
    TaskName task = fixture.effects.starts.get(index).task();
    fixture.nowMs += 500;
    fixture.supervisor.onReport(
        worker,
        new WorkerInventory(
            fixture.nowMs, List.of(), List.of(new WorkerInventory.EndedTask(1, task, 1, kind, ""))),
        fixture.nowMs,
        fixture.nowMs,
        WALL_MS);
    fixture.decide();
  }

  private void accept(int tasks) {
    fixture.accept(SupervisorFixture.job(OTHER_JOB, SupervisorFixture.tasks(tasks, WHOLE_WORKER)));
  }

  @Test
  void otherWorkStartsWhereATaskOfTheGangHasEnded() {
    fixture.supervisor.onWorkerUnreachable("b", "silent", fixture.nowMs);
    reportEnd("a", EndKind.BROKEN);
    accept(1);
    assertThat(fixture.startedOn()).containsExactly("a", "b", "a").inOrder();
  }

  @Test
  void theGangItselfWaitsForItsSilentTask() {
    fixture.listWorker("c", "r1");
    fixture.supervisor.onWorkerUnreachable("b", "silent", fixture.nowMs);
    reportEnd("a", EndKind.BROKEN);
    fixture.advance(1000);
    assertThat(fixture.startedOn()).containsExactly("a", "b");
  }

  @Test
  void nothingStartsOnTheSilentWorker() {
    fixture.supervisor.onWorkerUnreachable("b", "silent", fixture.nowMs);
    reportEnd("a", EndKind.BROKEN);
    accept(2);
    assertThat(fixture.startedOn()).containsExactly("a", "b", "a").inOrder();
  }

  // Urgent work must not wait for the end of the whole gang, and so for the leases on the silent
  // worker.
  @Test
  void urgentWorkStartsOnceItsOwnWorkersAreFree() {
    fixture.accept(
        new BatchJob(
            OTHER_JOB,
            SupervisorFixture.QUEUE,
            "s",
            "w",
            "",
            List.of(SupervisorFixture.tasks(1, WHOLE_WORKER)),
            Optional.empty(),
            0,
            2,
            WALL_MS));
    assertThat(fixture.effects.stops).isNotEmpty();
    fixture.supervisor.onWorkerUnreachable("b", "silent", fixture.nowMs);
    reportEnd("a", EndKind.STOPPED);
    assertThat(fixture.startedOn()).containsExactly("a", "b", "a").inOrder();
  }
}
