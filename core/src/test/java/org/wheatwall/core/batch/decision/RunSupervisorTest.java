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

/** Orders, ends and failures of a term, with workers that the test plays. */
final class RunSupervisorTest extends OneJobScenario {
  @Test
  void noOrderGoesOutBeforeItsIntentIsKept() {
    listWorker("a");
    accept(job(1, false, 2));
    assertThat(effects.kept).isNotEmpty();
    assertThat(effects.starts).isEmpty();
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  // Names of queues, services and labels are the operator's; they need not be label text here.
  @Test
  void jobsOfQueuesWithAnyNameStart() {
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
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  // Its run waits for another one to be stopped there, so it has no members written down yet.
  @Test
  void aWorkerMayGoWhileARunWaitsForRoomThere() {
    listWorker("a");
    BatchJob lower = job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 1, 2);
    accept(lower);
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    accept(job(ID, step(1, false, false, 8), Optional.empty(), 0, 2));
    assertThat(effects.stops).hasSize(1);
    supervisor.workerGone("a", nowMs, WALL_MS);
    listWorker("b");
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().filter(start -> start.worker().equals("b")).count())
        .isEqualTo(1);
  }

  // A worker lists so many ends at once only; the others come with later reports.
  @Test
  void aRunThatIsMissingFromAFullListOfEndsIsNotTakenForEnded() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    List<WorkerInventory.EndedTask> others = new ArrayList<>();
    for (int i = 1; i <= 500; i++) {
      TaskName other = new TaskName("00000000000000cc", 0, 0, i);
      others.add(new WorkerInventory.EndedTask(i, other, 1, EndKind.DONE, ""));
    }
    report("a", List.of(), others);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
    report("a", List.of(), List.of(end(501, 0, 1, EndKind.DONE)));
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void anEndIsAcknowledgedOnlyOnceItIsKept() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledged("a")).isEqualTo(0);
    assertThat(supervisor.needsReports("a")).isTrue();
    effects.keepAll();
    assertThat(supervisor.acknowledged("a")).isEqualTo(1);
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void anEndThatIsReportedTwiceIsNotAcknowledgedEarly() {
    listWorker("a");
    accept(job(2, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(supervisor.acknowledged("a")).isEqualTo(0);
  }

  @Test
  void oneMemberThatIsDoneStandsForItsGang() {
    listWorker("a");
    accept(job(3, true, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 2, 1, EndKind.DONE)));
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void severalFailuresOfOneRunCountOnce() {
    listWorker("a");
    accept(job(2, true, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.FAILED), end(2, 1, 1, EndKind.FAILED)));
    assertThat(written()).isEmpty();
  }

  @Test
  void aJobFailsAfterTheFailuresItIsAllowed() {
    listWorker("a");
    accept(job(1, false, 1));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.FAILED)));
    assertThat(written()).hasValue(BatchState.FAILED);
  }

  @Test
  void theNextRunWaitsForTheEndOfAStartWithoutAnswer() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    for (int i = 0; i < 3; i++) {
      answerStarts(CommandOutcome.UNKNOWN);
    }
    assertThat(effects.stops).hasSize(1);
    report("a", List.of(), List.of());
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().mapToInt(StartCommand::run).max().getAsInt()).isEqualTo(1);
    supervisor.onStopAnswer(effects.stops.get(0), CommandOutcome.DONE, nowMs, WALL_MS);
    report("a", List.of(), List.of());
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().mapToInt(StartCommand::run).max().getAsInt()).isEqualTo(2);
  }

  @Test
  void aJobThatEndedIsNotTakenForANewOne() {
    listWorker("a");
    accept(job(1, false, 2));
    supervisor.cancel(ID, nowMs, WALL_MS);
    accept(job(1, false, 2));
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
  }
}
