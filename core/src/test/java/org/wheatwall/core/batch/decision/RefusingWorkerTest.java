package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * Guards against repeated starts on an unhealthy worker that refuses every start but responds to
 * every query. Being idle it was always the best placement: one task was started there 41 times
 * within 0.3 s, each time with a record in the job log, and no other work was scheduled meanwhile.
 */
final class RefusingWorkerTest extends OneJobScenario {
  private static final int SECONDS = 10;

  private int answeredStarts;

  private void answerStartsWith(String refusing, CommandOutcome outcome) {
    effects.acknowledgeAll();
    while (answeredStarts < effects.starts.size()) {
      StartCommand command = effects.starts.get(answeredStarts++);
      boolean refused = command.worker().equals(refusing);
      supervisor.onStartOutcome(command, refused ? outcome : CommandOutcome.DONE, nowMs, WALL_MS);
      tick(WALL_MS);
      effects.acknowledgeAll();
      if (answeredStarts > 1000) {
        throw new AssertionError("more than 1000 starts");
      }
    }
  }

  private void pass(int ms, String refusing, CommandOutcome outcome) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      nowMs += 10;
      tick(WALL_MS);
      answerStartsWith(refusing, outcome);
    }
  }

  private long startsOn(String worker) {
    return effects.starts.stream().filter(command -> command.worker().equals(worker)).count();
  }

  @Test
  void theNextStartGoesToAnotherWorker() {
    listWorker("sick");
    accept(job(1, false, 2));
    listWorker("well");
    answerStartsWith("sick", CommandOutcome.NOT_DONE);
    assertThat(startsOn("sick")).isEqualTo(1);
    assertThat(startsOn("well")).isEqualTo(1);
  }

  @Test
  void refusedStartsAreRepeatedWithGrowingDelays() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(SECONDS * 1000, "sick", CommandOutcome.NOT_DONE);
    assertThat(startsOn("sick")).isAtLeast(5L);
    assertThat(startsOn("sick")).isAtMost(10L);
  }

  @Test
  void startsThatArriveTooLateAreRepeatedWithDelaysToo() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(SECONDS * 1000, "sick", CommandOutcome.TOO_LATE);
    assertThat(startsOn("sick")).isAtMost(10L);
  }

  // Several starts are on their way to a worker when it becomes unhealthy.
  @Test
  void simultaneousRefusalsCountOnce() {
    listWorker("sick");
    accept(job(4, false, 2));
    answerStartsWith("sick", CommandOutcome.NOT_DONE);
    assertThat(startsOn("sick")).isEqualTo(4);
    pass(150, "none", CommandOutcome.DONE);
    assertThat(startsOn("sick")).isEqualTo(8);
  }

  @Test
  void anAcceptedStartEndsTheDelays() {
    listWorker("sick");
    accept(job(1, false, 2));
    pass(3000, "sick", CommandOutcome.NOT_DONE);
    pass(4000, "none", CommandOutcome.DONE);
    long before = startsOn("sick");
    supervisor.accept(
        job("00000000000000ab", step(1, false, false, 1), Optional.empty(), 1, 2), nowMs, WALL_MS);
    pass(20, "sick", CommandOutcome.NOT_DONE);
    assertThat(startsOn("sick")).isEqualTo(before + 1);
    pass(150, "none", CommandOutcome.DONE);
    assertThat(startsOn("sick")).isEqualTo(before + 2);
  }
}
