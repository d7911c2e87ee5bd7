package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Tasks that are being stopped make no progress, and that says nothing of their worker. A worker on
 * which room was being made for urgent work was taken for slow and left aside, so the run planned
 * there was given up just as its room was free; after three such rounds of stops a guaranteed job
 * began 3.9 s after it was accepted.
 */
final class StoppingTasksTest {
  private static final int WORKERS = 8;
  private static final int WINDOW_MS = 700;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  private void report(StartCommand order, int percent) {
    fixture.nowMs += WINDOW_MS;
    WorkerInventory.RunningTask task =
        new WorkerInventory.RunningTask(order.task(), order.run(), "", percent);
    fixture.supervisor.onReport(
        order.worker(),
        new WorkerInventory(fixture.nowMs, List.of(task), List.of()),
        fixture.nowMs,
        fixture.nowMs,
        WALL_MS);
    fixture.decide();
  }

  private StartCommand taskAtWork() {
    for (int i = 0; i < WORKERS; i++) {
      fixture.listWorker("w" + i, "r1");
    }
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    StartCommand order = fixture.effects.starts.get(0);
    fixture.supervisor.onStartAnswer(order, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    for (int percent = 0; percent <= 60; percent += 20) {
      report(order, percent);
    }
    return order;
  }

  private boolean foundSlow() {
    return fixture.effects.events.stream()
        .anyMatch(event -> event.kind() == RunEvent.Kind.WORKER_SLOW);
  }

  @Test
  void workerWhoseTasksAreBeingStoppedIsNotSlow() {
    StartCommand order = taskAtWork();
    fixture.supervisor.cancel(SupervisorFixture.JOB, fixture.nowMs, WALL_MS);
    report(order, 60);
    report(order, 60);
    assertThat(foundSlow()).isFalse();
  }

  @Test
  void workerWhoseTasksStandStillIsSlow() {
    StartCommand order = taskAtWork();
    report(order, 60);
    report(order, 60);
    assertThat(foundSlow()).isTrue();
  }
}
