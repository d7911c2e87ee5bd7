package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.StartCommand;

/** A run that was written down and, by a fault, never ordered kept its group waiting for ever. */
final class UnorderedRunTest extends OneJobScenario {
  private static final int TICK_MS = 100;
  private static final int LONG_ENOUGH_MS = 3000;

  private void pass(int ms) {
    for (int passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      tick(WALL_MS);
      effects.keepAll();
    }
  }

  private void writeDownAndLoseTheCallback() {
    listWorker("a");
    effects.keepAll();
    accept(job(1, false, 2));
    effects.loseNext();
    effects.keepAll();
  }

  @Test
  void itsGroupStartsInAnotherRun() {
    writeDownAndLoseTheCallback();
    assertThat(effects.starts).isEmpty();
    pass(LONG_ENOUGH_MS);
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(2);
  }

  @Test
  void operatorsAreTold() {
    writeDownAndLoseTheCallback();
    pass(LONG_ENOUGH_MS);
    long told =
        effects.events.stream()
            .filter(event -> event.kind() == RunEvent.Kind.RUN_STOPPING)
            .filter(event -> event.reason().contains("not ordered"))
            .count();
    assertThat(told).isEqualTo(1);
  }

  // A decider that is busy for seconds takes in only afterwards that the record was kept.
  @Test
  void oneThatIsOrderedAfterALongLookGoesOn() {
    listWorker("a");
    effects.keepAll();
    accept(job(1, false, 2));
    nowMs += 3 * LONG_ENOUGH_MS;
    tick(WALL_MS);
    effects.keepAll();
    pass(LONG_ENOUGH_MS);
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(1);
  }

  @Test
  void anOrderThatComesLaterIsNotSent() {
    listWorker("a");
    effects.keepAll();
    accept(job(1, false, 2));
    for (int passed = 0; passed < LONG_ENOUGH_MS; passed += TICK_MS) {
      nowMs += TICK_MS;
      tick(WALL_MS);
    }
    effects.keepAll();
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(2);
  }
}
