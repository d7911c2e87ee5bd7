package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/** Commands, ends and failures within a term, with simulated workers. */
final class RunSupervisorTest extends OneJobScenario {
  @Test
  void noStartIsSentBeforeItsIntentIsAcknowledged() {
    listWorker("a");
    accept(job(1, false, 2));
    assertThat(effects.logged).isNotEmpty();
    assertThat(effects.starts).isEmpty();
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
  }

  // Names of queues, services and labels are chosen by operators and need not be valid label text.
  @Test
  void queueAndServiceNamesNeedNotBeLabelText() {
    String service = "a service: " + "x".repeat(80);
    BatchJob known = job(1, false, 2);
    StepSpec step =
        new StepSpec(
            1,
            new ResourceAmount(100, 10, 1),
            1000,
            List.of(),
            false,
            false,
            false,
            Optional.of("kind=a b"),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    supervisor.listWorker(
        new WorkerInfo(
            "a",
            "127.0.0.1:1",
            service,
            "z",
            "r",
            Set.of("kind=a b"),
            new ResourceAmount(1000, 100, 8),
            false),
        nowMs);
    report("a", List.of(), List.of());
    accept(
        new BatchJob(
            ID,
            "a@b:c",
            service,
            "w",
            "",
            List.of(step),
            Optional.empty(),
            1,
            2,
            known.acceptedAtMs()));
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
  }

  // The run waits for a victim on that worker, so its members are not logged yet.
  @Test
  void workerMayBeLostWhileARunWaitsForCapacityThere() {
    listWorker("a");
    BatchJob lowerPriorityJob =
        job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 1, 2);
    accept(lowerPriorityJob);
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    accept(job(ID, step(1, false, false, 8), Optional.empty(), 0, 2));
    assertThat(effects.stops).hasSize(1);
    supervisor.onWorkerGone("a", nowMs, WALL_MS);
    listWorker("b");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().filter(start -> start.worker().equals("b")).count())
        .isEqualTo(1);
  }

  // A worker includes a limited number of ends in a report; the others follow in later reports.
  @Test
  void runMissingFromAFullEndListIsNotTreatedAsEnded() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    List<WorkerInventory.EndedTask> others = new ArrayList<>();
    for (int i = 1; i <= 500; i++) {
      TaskName other = new TaskName("00000000000000cc", 0, 0, i);
      others.add(new WorkerInventory.EndedTask(i, other, 1, EndKind.DONE, ""));
    }
    report("a", List.of(), others);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
    report("a", List.of(), List.of(endedTask(501, 0, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void endIsAcknowledgedOnlyAfterItIsLogged() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledgedEndNumber("a")).isEqualTo(0);
    assertThat(supervisor.needsReports("a")).isTrue();
    effects.acknowledgeAll();
    assertThat(supervisor.acknowledgedEndNumber("a")).isEqualTo(1);
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void endReportedTwiceIsNotAcknowledgedEarly() {
    listWorker("a");
    accept(job(2, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledgedEndNumber("a")).isEqualTo(0);
  }

  @Test
  void oneDoneMemberCompletesItsGang() {
    listWorker("a");
    accept(job(3, true, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 2, 1, EndKind.DONE)));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void failuresOfTheSameRunCountOnce() {
    listWorker("a");
    accept(job(2, true, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report(
        "a",
        List.of(),
        List.of(endedTask(1, 0, 1, EndKind.FAILED), endedTask(2, 1, 1, EndKind.FAILED)));
    assertThat(loggedEndState()).isEmpty();
  }

  @Test
  void jobFailsAfterMaxAttempts() {
    listWorker("a");
    accept(job(1, false, 1));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.FAILED)));
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
  }

  @Test
  void nextRunWaitsUntilAnUnansweredStartHasEnded() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    for (int i = 0; i < 3; i++) {
      resolveStarts(CommandOutcome.UNKNOWN);
    }
    assertThat(effects.stops).hasSize(1);
    report("a", List.of(), List.of());
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().mapToInt(StartCommand::run).max().getAsInt()).isEqualTo(1);
    supervisor.onStopOutcome(effects.stops.get(0), CommandOutcome.DONE, nowMs, WALL_MS);
    report("a", List.of(), List.of());
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().mapToInt(StartCommand::run).max().getAsInt()).isEqualTo(2);
  }

  @Test
  void endedJobIsNotAcceptedAgain() {
    listWorker("a");
    accept(job(1, false, 2));
    supervisor.cancel(ID, nowMs, WALL_MS);
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    assertThat(effects.starts).isEmpty();
  }
}
