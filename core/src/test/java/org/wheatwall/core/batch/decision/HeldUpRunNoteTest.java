package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;

/**
 * Operators read why a job waits whose run is not over: what holds it, and what was passed over.
 */
final class HeldUpRunNoteTest extends OneJobScenario {
  private static final int HELD_UP_MS = 12_000;
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
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
  }

  @Test
  void aStopThatDoesNotEndNamesTheWorkerAndWhenItWasHeard() {
    startOn("a");
    supervisor.cancel(ID, nowMs, WALL_MS);
    for (int passedMs = 0; passedMs < HELD_UP_MS; passedMs += STEP_MS) {
      nowMs += STEP_MS;
      tick(WALL_MS);
    }
    List<String> reasons = reasons(RunEvent.Kind.RUN_HELD_UP);
    assertThat(reasons).hasSize(1);
    assertThat(reasons.get(0)).contains("a=RUNNING stop open, heard 5000 ms ago");
  }

  @Test
  void anEndIsNotedThatIsPassedOverThoughItsRunIsNotOver() {
    listWorker("a");
    report("a", List.of(), List.of(end(3, 5, 1, EndKind.STOPPED)));
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(reasons(RunEvent.Kind.END_PASSED_OVER).get(0))
        .contains("ends up to 3 were taken in");
  }
}
