package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;

/**
 * The decision log tells operators what blocks a stopping run and which reported ends were ignored.
 */
final class BlockedRunLogTest extends OneJobScenario {
  private static final int BLOCKED_MS = 12_000;
  private static final int STEP_MS = 1000;

  private List<String> reasons(RunEvent.Kind kind) {
    return effects.events.stream()
        .filter(event -> event.kind() == kind)
        .map(RunEvent::reason)
        .toList();
  }

  private void startOn(String worker) {
    listWorker(worker);
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
  }

  @Test
  void blockedRunLogNamesTheWorkerAndItsLastReport() {
    startOn("a");
    supervisor.cancel(ID, nowMs, WALL_MS);
    for (int elapsedMs = 0; elapsedMs < BLOCKED_MS; elapsedMs += STEP_MS) {
      nowMs += STEP_MS;
      tick(WALL_MS);
    }
    List<String> reasons = reasons(RunEvent.Kind.RUN_HELD_UP);
    assertThat(reasons).hasSize(1);
    assertThat(reasons.get(0)).contains("a=RUNNING stop open, heard 5000 ms ago");
  }

  @Test
  void ignoredEndOfAnOngoingRunIsLogged() {
    listWorker("a");
    report("a", List.of(), List.of(endedTask(3, 5, 1, EndKind.STOPPED)));
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    assertThat(reasons(RunEvent.Kind.END_PASSED_OVER).get(0))
        .contains("ends up to 3 were taken in");
  }
}
