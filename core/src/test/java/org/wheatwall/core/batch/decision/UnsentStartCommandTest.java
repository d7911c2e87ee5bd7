package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * A run that was logged but, because of a fault, never started must not block its group forever.
 */
final class UnsentStartCommandTest extends OneJobScenario {
  private static final int TICK_MS = 100;
  private static final int LONG_ENOUGH_MS = 3000;

  private void advance(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
  }

  private void logRunAndDropTheAcknowledgement() {
    listWorker("a");
    effects.acknowledgeAll();
    accept(job(1, false, 2));
    effects.dropNextAcknowledgement();
    effects.acknowledgeAll();
  }

  @Test
  void groupStartsInAnotherRun() {
    logRunAndDropTheAcknowledgement();
    assertThat(effects.starts).isEmpty();
    advance(LONG_ENOUGH_MS);
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(2);
  }

  @Test
  void stopReasonIsLogged() {
    logRunAndDropTheAcknowledgement();
    advance(LONG_ENOUGH_MS);
    long loggedStops =
        effects.events.stream()
            .filter(event -> event.kind() == RunEvent.Kind.RUN_STOPPING)
            .filter(event -> event.reason().contains("not ordered"))
            .count();
    assertThat(loggedStops).isEqualTo(1);
  }

  // A decider that is busy for seconds processes the acknowledgement of the record only after that
  // time.
  @Test
  void runStartedAfterALongSchedulingPassContinues() {
    listWorker("a");
    effects.acknowledgeAll();
    accept(job(1, false, 2));
    nowMs += 3 * LONG_ENOUGH_MS;
    tick(WALL_MS);
    effects.acknowledgeAll();
    advance(LONG_ENOUGH_MS);
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(1);
  }

  @Test
  void startIsNotSentAfterALateAcknowledgement() {
    listWorker("a");
    effects.acknowledgeAll();
    accept(job(1, false, 2));
    for (int elapsedMs = 0; elapsedMs < LONG_ENOUGH_MS; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      tick(WALL_MS);
    }
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(2);
  }
}
