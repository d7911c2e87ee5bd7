package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A start whose sending fails with an exception does not block its group forever. */
final class FailedStartCommandTest extends OneJobScenario {
  private static final int TICK_MS = 100;
  private static final int LONG_ENOUGH_MS = 60_000;

  private void advance(String... workers) {
    for (int elapsedMs = 0; elapsedMs < LONG_ENOUGH_MS; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      for (String worker : workers) {
        report(worker, List.of(), List.of());
      }
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
  }

  @Test
  void groupIsStartedAgain() {
    listWorker("a");
    effects.acknowledgeAll();
    accept(job(1, false, 2));
    effects.failNextStart();
    assertThrows(IllegalStateException.class, effects::acknowledgeAll);
    advance("a");
    assertThat(effects.starts).isNotEmpty();
  }

  @Test
  void gangWithOneFailedStartDoesNotStayPartial() {
    listWorker("a");
    effects.acknowledgeAll();
    accept(job(2, true, 2));
    effects.failNextStart();
    assertThrows(IllegalStateException.class, effects::acknowledgeAll);
    advance("a");
    assertThat(effects.starts).isNotEmpty();
  }
}
