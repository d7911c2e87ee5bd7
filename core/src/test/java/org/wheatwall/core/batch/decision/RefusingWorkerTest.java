package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * A worker that was not healthy refused every start and answered every report. It held nothing, so
 * it was the best place: one task was started there 41 times within 0.3 s, each time with a record
 * in the log, and nothing else was decided in between.
 */
final class RefusingWorkerTest extends OneJobScenario {
  private static final int SECONDS = 10;

  private int answered;

  private void answerStartsWith(String refusing, CommandOutcome answer) {
    effects.keepAll();
    while (answered < effects.starts.size()) {
      StartCommand order = effects.starts.get(answered++);
      boolean refused = order.worker().equals(refusing);
      supervisor.onStartAnswer(order, refused ? answer : CommandOutcome.DONE, nowMs, WALL_MS);
      tick(WALL_MS);
      effects.keepAll();
      if (answered > 1000) {
        throw new AssertionError("started without end");
      }
    }
  }

  private void pass(int ms, String refusing, CommandOutcome answer) {
    for (int passed = 0; passed < ms; passed += 10) {
      nowMs += 10;
      tick(WALL_MS);
      answerStartsWith(refusing, answer);
    }
  }

  private long startsAt(String worker) {
    return effects.starts.stream().filter(order -> order.worker().equals(worker)).count();
  }

  @Test
  void theNextStartGoesElsewhere() {
    listWorker("sick");
    accept(job(1, false, 2));
    listWorker("well");
    answerStartsWith("sick", CommandOutcome.NOT_DONE);
    assertThat(startsAt("sick")).isEqualTo(1);
    assertThat(startsAt("well")).isEqualTo(1);
  }

  @Test
  void startsAreRepeatedWithGrowingDelays() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(SECONDS * 1000, "sick", CommandOutcome.NOT_DONE);
    assertThat(startsAt("sick")).isAtLeast(5L);
    assertThat(startsAt("sick")).isAtMost(10L);
  }

  @Test
  void startsThatAreLateAreRepeatedWithDelaysToo() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(SECONDS * 1000, "sick", CommandOutcome.TOO_LATE);
    assertThat(startsAt("sick")).isAtMost(10L);
  }

  // Several starts are under way to a worker when it turns sick.
  @Test
  void refusalsOfOneMomentCountOnce() {
    listWorker("sick");
    accept(job(4, false, 2));
    answerStartsWith("sick", CommandOutcome.NOT_DONE);
    assertThat(startsAt("sick")).isEqualTo(4);
    pass(150, "none", CommandOutcome.DONE);
    assertThat(startsAt("sick")).isEqualTo(8);
  }

  @Test
  void aStartThatIsTakenEndsTheDelays() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(3000, "sick", CommandOutcome.NOT_DONE);
    pass(4000, "none", CommandOutcome.DONE);
    long before = startsAt("sick");
    supervisor.accept(
        job("00000000000000ab", step(1, false, false, 1), Optional.empty(), 1, 2), nowMs, WALL_MS);
    pass(20, "sick", CommandOutcome.NOT_DONE);
    assertThat(startsAt("sick")).isEqualTo(before + 1);
    pass(150, "none", CommandOutcome.DONE);
    assertThat(startsAt("sick")).isEqualTo(before + 2);
  }
}
