package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StopCommand;

/**
 * Urgent work waited for the end of what was stopped for it, up to four leases if a worker did not
 * answer, though other workers had become free.
 */
final class SlowVictimsTest {
  private static final String URGENT = "00000000000000bb";
  private static final int WHOLE_WORKER = SupervisorFixture.WORKER_ACCELERATORS;
  private static final int WELL_BELOW_MS = 2000;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  @BeforeEach
  void haveUrgentWorkWaitForTheEndOfOther() {
    fixture.listWorker("a", "r1");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, WHOLE_WORKER)));
    fixture.answerStarts(CommandOutcome.DONE);
    fixture.accept(urgentJob());
    assertThat(fixture.effects.stops).hasSize(1);
  }

  private static BatchJob urgentJob() {
    return new BatchJob(
        URGENT,
        SupervisorFixture.QUEUE,
        "s",
        "w",
        "",
        List.of(SupervisorFixture.tasks(1, WHOLE_WORKER)),
        Optional.empty(),
        0,
        2,
        WALL_MS);
  }

  @Test
  void itStartsElsewhereIfTheirWorkerDoesNotAnswer() {
    fixture.supervisor.unreachable("a", "silent", fixture.nowMs);
    fixture.listWorker("b", "r1");
    fixture.pass(WELL_BELOW_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void itStartsElsewhereIfTheyOnlyTakeLong() {
    fixture.listWorker("b", "r1");
    fixture.pass(WELL_BELOW_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void itStartsElsewhereHoweverLateTheRoomComes() {
    fixture.supervisor.unreachable("a", "silent", fixture.nowMs);
    fixture.pass(3 * WELL_BELOW_MS);
    fixture.listWorker("b", "r1");
    fixture.pass(WELL_BELOW_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void withoutOtherRoomItStillWaitsForTheEndOfTheSame() {
    fixture.pass(3 * WELL_BELOW_MS);
    assertThat(fixture.startedOn()).containsExactly("a");
    Set<String> stopped =
        fixture.effects.stops.stream()
            .map(order -> order.task().jobId())
            .collect(Collectors.toSet());
    assertThat(stopped).containsExactly(SupervisorFixture.JOB);
    StopCommand stop = fixture.effects.stops.get(0);
    fixture.supervisor.onStopAnswer(stop, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    fixture.report("a");
    fixture.decide();
    assertThat(fixture.startedOn()).containsExactly("a", "a");
    assertThat(fixture.effects.starts.get(1).task().jobId()).isEqualTo(URGENT);
  }
}
