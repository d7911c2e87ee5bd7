package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * Starts must not be planned again on a worker whose process is down while other workers are free.
 * As nothing runs on the worker, it is the preferred place. Each start is refused by a closed port,
 * and without this rule the next one is planned there again, ten times per second, each with a
 * record in the job log, until 1.5 s of silence make the worker unusable.
 */
final class UnreachableWorkerTest extends OneJobScenario {
  private StartCommand lastStart() {
    return effects.starts.get(effects.starts.size() - 1);
  }

  private void resolveLastStart(CommandOutcome outcome) {
    supervisor.onStartOutcome(lastStart(), outcome, nowMs, WALL_MS);
    tick(WALL_MS);
    effects.acknowledgeAll();
  }

  @Test
  void nextStartGoesToAnotherWorker() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    listWorker("up");
    resolveLastStart(CommandOutcome.NOT_REACHED);
    assertThat(lastStart().worker()).isEqualTo("up");
  }

  @Test
  void nothingStartsOnTheWorkerUntilItReports() {
    listWorker("down");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveLastStart(CommandOutcome.NOT_REACHED);
    assertThat(effects.starts).hasSize(1);
    listWorker("down");
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(2);
  }
}
