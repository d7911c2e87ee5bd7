package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;

/** Guards against commands that start tasks in an availability zone after its evacuation. */
final class EvacuatedZonesTest extends OneJobScenario {
  private static final Set<String> ZONE = Set.of("z");
  private static final int STEP_MS = 250;

  private void evacuate(Optional<Set<String>> zones) {
    supervisor.setEvacuatedZones(zones, nowMs);
  }

  private void advance(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      nowMs += STEP_MS;
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
  }

  @Test
  void nothingStartsUntilTheZoneIsRestored() {
    listWorker("a");
    evacuate(Optional.of(ZONE));
    accept(job(1, false, 2));
    advance(5000);
    assertThat(effects.starts).isEmpty();
    assertThat(supervisor.explain(ID)).contains("nothing starts in evacuated zones: z");
    evacuate(Optional.of(Set.of()));
    advance(1000);
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void nothingStartsWhileTheEvacuationsAreNotKnown() {
    listWorker("a");
    evacuate(Optional.empty());
    accept(job(1, false, 2));
    advance(5000);
    assertThat(effects.starts).isEmpty();
    evacuate(Optional.of(Set.of()));
    advance(1000);
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void aRunThatIsBeingLoggedDoesNotStart() {
    listWorker("a");
    accept(job(2, true, 2));
    evacuate(Optional.of(ZONE));
    advance(5000);
    assertThat(effects.starts).isEmpty();
  }

  @Test
  void anUnansweredStartIsNotRepeated() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
    evacuate(Optional.of(ZONE));
    resolveStarts(CommandOutcome.UNKNOWN);
    advance(5000);
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.stops).isNotEmpty();
  }

  @Test
  void anUnansweredStartIsNotRepeatedAtAWorkerThatIsUnlistedMeanwhile() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    evacuate(Optional.of(ZONE));
    supervisor.unlistWorker("a", nowMs);
    resolveStarts(CommandOutcome.UNKNOWN);
    assertThat(effects.starts).hasSize(1);
    assertThat(supervisor.isStartAllowedOn("a")).isFalse();
  }

  @Test
  void aFailedTaskIsNotStartedAgainThere() {
    listWorker("a");
    accept(job(1, false, 3));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    evacuate(Optional.of(ZONE));
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.FAILED)));
    advance(5000);
    assertThat(effects.starts).hasSize(1);
    assertThat(loggedEndState()).isEmpty();
  }

  @Test
  void aTaskThatRunsThereContinues() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    evacuate(Optional.of(ZONE));
    nowMs += STEP_MS;
    tick(WALL_MS);
    assertThat(effects.stops).isEmpty();
  }

  @Test
  void aWorkerThatIsListedDuringAnEvacuationGetsNoWork() {
    evacuate(Optional.of(ZONE));
    listWorker("a");
    accept(job(1, false, 2));
    advance(5000);
    assertThat(effects.starts).isEmpty();
  }
}
