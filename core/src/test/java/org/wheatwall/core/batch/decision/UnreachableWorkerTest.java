package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;

/**
 * Urgent work waited some seconds for a worker whose process was down, with others free: the worker
 * held nothing, so it was the best place, each start was refused by a closed port, and the next one
 * was planned there again, ten times a second, each with a record in the log. Only 1.5 s of silence
 * took the worker out of use.
 */
final class UnreachableWorkerTest extends OneJobScenario {
  private StartOrder lastStart() {
    return effects.starts.get(effects.starts.size() - 1);
  }

  private void answerLastStart(OrderAnswer answer) {
    supervisor.onStartOutcome(lastStart(), answer, nowMs, WALL_MS);
    tick(WALL_MS);
    effects.acknowledgeAll();
  }

  @Test
  void nextStartGoesToAnotherWorker() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    listWorker("up");
    answerLastStart(OrderAnswer.NOT_REACHED);
    assertThat(lastStart().worker()).isEqualTo("up");
  }

  @Test
  void nothingStartsOnTheWorkerUntilItReports() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    answerLastStart(OrderAnswer.NOT_REACHED);
    assertThat(effects.starts).hasSize(1);
    listWorker("down");
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(2);
  }
}
