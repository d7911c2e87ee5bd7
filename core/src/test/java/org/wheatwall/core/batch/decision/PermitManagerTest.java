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

/** Steps of queues that need permits start only on permitted workers and carry the permit. */
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

  private PermitRequest lastRequest() {
    return fixture.effects.permitRequests.get(fixture.effects.permitRequests.size() - 1);
  }

  private void respond(int validMs, String... granted) {
    Map<String, String> permitByWorker = new HashMap<>();
    for (String worker : granted) {
      permitByWorker.put(worker, "permit-" + worker);
    }
    fixture.supervisor.onPermits(
        lastRequest(),
        Optional.of(new PermitResponse(permitByWorker, validMs)),
        fixture.nowMs,
        fixture.nowMs);
    fixture.decide();
  }

  @Test
  void nothingStartsBeforePermitsAreKnown() {
    fixture.accept(oneTask());
    fixture.advance(2000);
    assertThat(fixture.effects.permitRequests).hasSize(1);
    assertThat(lastRequest().step()).isEqualTo(new StepKey(SupervisorFixture.JOB, 0, 0));
    assertThat(lastRequest().workers()).containsExactly("a", "b", "c");
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void aStartGoesToAPermittedWorkerAndCarriesItsPermit() {
    fixture.accept(oneTask());
    respond(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b");
    assertThat(fixture.effects.starts.get(0).permit()).hasValue("permit-b");
  }

  @Test
  void queuesThatNeedNoPermitsAreNotDelayed() {
    fixture.supervisor.setRules(SchedulingRules.ofPermitQueues(Set.of("other")), fixture.nowMs);
    fixture.accept(oneTask());
    assertThat(fixture.effects.permitRequests).isEmpty();
    assertThat(fixture.startedOn()).hasSize(1);
    assertThat(fixture.effects.starts.get(0).permit()).isEmpty();
  }

  // Workers refuse expired permits, which are requested again for permitted workers only.
  @Test
  void expiredPermitsAreRequestedAgain() {
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(2, 8)));
    respond(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b");
    fixture.advance(VALID_MS);
    assertThat(fixture.effects.permitRequests).hasSize(2);
    assertThat(lastRequest().workers()).containsExactly("b");
  }

  @Test
  void aWorkerThatRefusesThePermitGetsNoStartBeforeAnotherResponse() {
    fixture.accept(oneTask());
    respond(VALID_MS, "b");
    StartCommand command = fixture.effects.starts.get(0);
    fixture.supervisor.onStartOutcome(command, CommandOutcome.NO_PERMIT, fixture.nowMs, WALL_MS);
    fixture.advance(200);
    assertThat(fixture.startedOn()).containsExactly("b");
    assertThat(lastRequest().workers()).containsExactly("b");
    respond(VALID_MS, "b");
    assertThat(fixture.startedOn()).containsExactly("b", "b");
  }

  @Test
  void aRequestWithoutAResponseIsRepeated() {
    fixture.accept(oneTask());
    fixture.supervisor.onPermits(lastRequest(), Optional.empty(), fixture.nowMs, fixture.nowMs);
    fixture.advance(200);
    assertThat(fixture.effects.permitRequests).hasSize(2);
    respond(VALID_MS, "c");
    assertThat(fixture.startedOn()).containsExactly("c");
  }

  @Test
  void permitsForFurtherWorkersAreRequestedWhileAStepWaits() {
    fixture.accept(oneTask());
    respond(VALID_MS);
    fixture.listWorker("d", "r2");
    fixture.advance(1000);
    assertThat(lastRequest().workers()).containsExactly("d");
    respond(VALID_MS, "d");
    assertThat(fixture.startedOn()).containsExactly("d");
  }

  // The rack has no second worker that may run the gang, so it would wait for one forever.
  @Test
  void aGangIsSpreadOverRacksOncePermitsForEveryWorkerWereRequested() {
    fixture.accept(SupervisorFixture.job(SupervisorFixture.rackGang(2, 8)));
    respond(VALID_MS, "a", "c");
    assertThat(fixture.startedOn()).containsExactly("a", "c");
  }

  @Test
  void aStartThatWouldArriveAfterItsPermitExpiresIsNotSent() {
    fixture.accept(oneTask());
    fixture.supervisor.onPermits(
        lastRequest(),
        Optional.of(new PermitResponse(Map.of("a", "permit-a"), VALID_MS)),
        fixture.nowMs - VALID_MS,
        fixture.nowMs);
    fixture.decide();
    assertThat(fixture.startedOn()).isEmpty();
  }

  @Test
  void explanationNamesThePermitsThatAStepWaitsFor() {
    fixture.accept(oneTask());
    List<String> lines = fixture.supervisor.explain(SupervisorFixture.JOB);
    assertThat(lines.toString()).contains("permits for 0 workers now, 0 were asked for");
  }
}
