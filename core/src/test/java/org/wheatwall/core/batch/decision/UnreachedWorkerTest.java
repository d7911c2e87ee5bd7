package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * Urgent work waited some seconds for a worker whose process was down, with others free: the worker
 * held nothing, so it was the best place, each start was refused by a closed port, and the next one
 * was planned there again, ten times a second, each with a record in the log. Only 1.5 s of silence
 * took the worker out of use.
 */
final class UnreachedWorkerTest extends OneJobScenario {
  private StartCommand lastStart() {
    return effects.starts.get(effects.starts.size() - 1);
  }

  private void answerLastStart(CommandOutcome answer) {
    supervisor.onStartAnswer(lastStart(), answer, nowMs, WALL_MS);
    tick(WALL_MS);
    effects.keepAll();
  }

  @Test
  void theNextStartGoesElsewhere() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.keepAll();
    listWorker("up");
    answerLastStart(CommandOutcome.NOT_REACHED);
    assertThat(lastStart().worker()).isEqualTo("up");
  }

  @Test
  void nothingStartsThereUntilItAnswers() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.keepAll();
    answerLastStart(CommandOutcome.NOT_REACHED);
    assertThat(effects.starts).hasSize(1);
    listWorker("down");
    effects.keepAll();
    assertThat(effects.starts).hasSize(2);
  }
}
