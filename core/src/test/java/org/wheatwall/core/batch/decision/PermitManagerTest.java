package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepKey;

/** Steps of queues that need permits start only where one was given, and carry it. */
final class PermitManagerTest {
  private static final int VALID_MS = 3000;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  @BeforeEach
  void listWorkers() {
    fixture.supervisor.setRules(
        SchedulingRules.ofPermitQueues(Set.of(SupervisorFixture.QUEUE)), fixture.nowMs);
    fixture.listWorker("a", "r1");
    fixture.listWorker("b", "r1");
    fixture.listWorker("c", "r2");
  }

  private static BatchJob oneTask() {
    return SupervisorFixture.job(SupervisorFixture.tasks(1, 8));
  }

  private PermitRequest lastQuestion() {
    return fixture.effects.questions.get(fixture.effects.questions.size() - 1);
  }

  private void answer(int validMs, String... granted) {
    Map<String, String> textByWorker = new HashMap<>();
    for (String worker : granted) {
      textByWorker.put(worker, "permit-" + worker);
    }
    fixture.supervisor.onPermits(
        lastQuestion(),
        Optional.of(new PermitResponse(textByWorker, validMs)),
        fixture.nowMs,
        fixture.nowMs);
    fixture.decide();
  }

  @Test
  void nothingStartsBeforePermitsAreKnown() {
    fixture.accept(oneTask());
    fixture.pass(2000);
    assertThat(fixture.effects.questions).hasSize(1);
    assertThat(lastQuestion().step()).isEqualTo(new StepKey(SupervisorFixture.JOB, 0, 0));
    assertThat(lastQuestion().workers()).containsExactly("a", "b", "c");
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void aStartGoesToAPermittedWorkerAndCarriesItsPermit() {
    fixture.accept(oneTask());
    answer(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b");
    assertThat(fixture.effects.starts.get(0).permit()).hasValue("permit-b");
  }

  @Test
  void queuesThatNeedNoPermitsAreNotHeldUp() {
    fixture.supervisor.setRules(SchedulingRules.ofPermitQueues(Set.of("other")), fixture.nowMs);
    fixture.accept(oneTask());
    assertThat(fixture.effects.questions).isEmpty();
    assertThat(fixture.startedOn()).hasSize(1);
    assertThat(fixture.effects.starts.get(0).permit()).isEmpty();
  }

  // A text that lapsed is refused by the worker; only those that may run the step are asked again.
  @Test
  void lapsedPermitsAreAskedForAgain() {
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(2, 8)));
    answer(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b");
    fixture.pass(VALID_MS);
    assertThat(fixture.effects.questions).hasSize(2);
    assertThat(lastQuestion().workers()).containsExactly("b");
  }

  @Test
  void aWorkerThatRefusesThePermitIsNotOrderedAgainBeforeAnotherAnswer() {
    fixture.accept(oneTask());
    answer(VALID_MS, "b");
    StartCommand order = fixture.effects.starts.get(0);
    fixture.supervisor.onStartAnswer(order, CommandOutcome.NO_PERMIT, fixture.nowMs, WALL_MS);
    fixture.pass(200);
    assertThat(fixture.startedOn()).containsExactly("b");
    assertThat(lastQuestion().workers()).containsExactly("b");
    answer(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b", "b");
  }

  @Test
  void aQuestionWithoutAnAnswerIsRepeated() {
    fixture.accept(oneTask());
    fixture.supervisor.onPermits(lastQuestion(), Optional.empty(), fixture.nowMs, fixture.nowMs);
    fixture.pass(200);
    assertThat(fixture.effects.questions).hasSize(2);
    answer(VALID_MS, "c");
    assertThat(fixture.startedOn()).containsExactly("c");
  }

  @Test
  void furtherWorkersAreAskedForWhileAStepWaits() {
    fixture.accept(oneTask());
    answer(VALID_MS);
    fixture.listWorker("d", "r2");
    fixture.pass(1000);
    assertThat(lastQuestion().workers()).containsExactly("d");
    answer(VALID_MS, "d");
    assertThat(fixture.startedOn()).containsExactly("d");
  }

  // Its rack has no second worker that may run it, so waiting for one would last for ever.
  @Test
  void aGangLeavesItsRackOnceEveryWorkerWasAskedFor() {
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(2, 8)));
    answer(VALID_MS, "a", "c");
    assertThat(fixture.startedOn()).containsExactly("a", "c");
  }

  @Test
  void aStartThatWouldComeTooLateIsNotOrdered() {
    fixture.accept(oneTask());
    fixture.supervisor.onPermits(
        lastQuestion(),
        Optional.of(new PermitResponse(Map.of("a", "permit-a"), VALID_MS)),
        fixture.nowMs - VALID_MS,
        fixture.nowMs);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void operatorsSeeWhatAStepWaitsFor() {
    fixture.accept(oneTask());
    List<String> lines = fixture.supervisor.explain(SupervisorFixture.JOB);
    assertThat(lines.toString()).contains("permits for 0 workers now, 0 were asked for");
  }
}
