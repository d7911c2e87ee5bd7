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
 * Urgent jobs must not wait for slow victims while other workers are free. The end of a victim on
 * an unreachable worker can take up to four leases.
 */
final class SlowVictimsTest {
  private static final String URGENT = "00000000000000bb";
  private static final int WHOLE_WORKER = SupervisorFixture.WORKER_ACCELERATORS;
  private static final int MAX_START_DELAY_MS = 2000;
  private static final long WALL_MS = 1_000_000;

  private final SupervisorFixture fixture = new SupervisorFixture();

  @BeforeEach
  void startUrgentJobThatWaitsForAVictim() {
    fixture.listWorker("a", "r1");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, WHOLE_WORKER)));
    fixture.resolveStarts(CommandOutcome.DONE);
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
  void urgentJobStartsElsewhereIfTheVictimsWorkerIsUnreachable() {
    fixture.supervisor.onWorkerUnreachable("a", "silent", fixture.nowMs);
    fixture.listWorker("b", "r1");
    fixture.advance(MAX_START_DELAY_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void urgentJobStartsElsewhereIfTheVictimStopsSlowly() {
    fixture.listWorker("b", "r1");
    fixture.advance(MAX_START_DELAY_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void urgentJobStartsElsewhereHoweverLateCapacityIsAdded() {
    fixture.supervisor.onWorkerUnreachable("a", "silent", fixture.nowMs);
    fixture.advance(3 * MAX_START_DELAY_MS);
    fixture.listWorker("b", "r1");
    fixture.advance(MAX_START_DELAY_MS);
    assertThat(fixture.startedOn()).containsExactly("a", "b").inOrder();
  }

  @Test
  void urgentJobWaitsForTheSameVictimIfThereIsNoOtherCapacity() {
    fixture.advance(3 * MAX_START_DELAY_MS);
    assertThat(fixture.startedOn()).containsExactly("a");
    Set<String> stopped =
        fixture.effects.stops.stream().map(stop -> stop.task().jobId()).collect(Collectors.toSet());
    assertThat(stopped).containsExactly(SupervisorFixture.JOB);
    StopCommand stop = fixture.effects.stops.get(0);
    fixture.supervisor.onStopOutcome(stop, CommandOutcome.DONE, fixture.nowMs, WALL_MS);
    fixture.report("a");
    fixture.decide();
    assertThat(fixture.startedOn()).containsExactly("a", "a");
    assertThat(fixture.effects.starts.get(1).task().jobId()).isEqualTo(URGENT);
  }
}
