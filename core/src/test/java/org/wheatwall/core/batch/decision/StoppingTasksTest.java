package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Tasks that are being stopped make no progress, which does not mean that their worker is slow.
 * Guards against avoiding workers on which tasks are preempted for urgent work: the run planned
 * there was abandoned just as its capacity became free, and after three such rounds of preemption a
 * guaranteed job started 3.9 s after it was accepted.
 */
final class StoppingTasksTest {
  private static final int WORKERS = 8;
  private static final int WINDOW_MS = 700;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  private void report(StartCommand command, int percent) {
    fixture.nowMs += WINDOW_MS;
    WorkerInventory.RunningTask task =
        new WorkerInventory.RunningTask(command.task(), command.run(), "", percent);
    fixture.supervisor.onReport(
        command.worker(),
        new WorkerInventory(fixture.nowMs, List.of(task), List.of()),
        fixture.nowMs,
        fixture.nowMs,
        WALL_MS);
    fixture.decide();
  }

  private StartCommand runningTask() {
    for (int i = 0; i < WORKERS; i++) {
      fixture.listWorker("w" + i, "r1");
    }
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    StartCommand command = fixture.effects.starts.get(0);
    fixture.supervisor.onStartOutcome(command, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    for (int percent = 0; percent <= 60; percent += 20) {
      report(command, percent);
    }
    return command;
  }

  private boolean workerWasFoundSlow() {
    return fixture.effects.events.stream()
        .anyMatch(event -> event.kind() == RunEvent.Kind.WORKER_SLOW);
  }

  @Test
  void workerWhoseTasksAreBeingStoppedIsNotSlow() {
    StartCommand command = runningTask();
    fixture.supervisor.cancel(SupervisorFixture.JOB, fixture.nowMs, WALL_MS);
    report(command, 60);
    report(command, 60);
    assertThat(workerWasFoundSlow()).isFalse();
  }

  @Test
  void workerWhoseTasksAreStuckIsSlow() {
    StartCommand command = runningTask();
    report(command, 60);
    report(command, 60);
    assertThat(workerWasFoundSlow()).isTrue();
  }
}
