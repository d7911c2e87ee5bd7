package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;

/** Operators read from one line what a worker that is gone has taken with it. */
final class LostWorkerNoteTest extends OneJobScenario {
  private String noteOfLoss(String worker) {
    supervisor.workerGone(worker, nowMs, WALL_MS);
    List<String> reasons =
        effects.events.stream()
            .filter(event -> event.kind() == RunEvent.Kind.WORKER_GONE)
            .map(RunEvent::reason)
            .toList();
    return reasons.get(reasons.size() - 1);
  }

  @Test
  void namesTheRunsAndHowLongTheyHadBeenThere() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    nowMs += 3400;
    assertThat(noteOfLoss("a")).contains("it held 1, " + ID + ".0.0.0 run 1 for 3400 ms");
  }

  @Test
  void saysSoIfNothingWasThere() {
    listWorker("a");
    assertThat(noteOfLoss("a")).contains("it held nothing");
  }
}
