package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;

/** A single log line lists the runs that were lost with a worker. */
final class LostWorkerLogTest extends OneJobScenario {
  private String goneReason(String worker) {
    supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    List<String> reasons =
        effects.events.stream()
            .filter(event -> event.kind() == RunEvent.Kind.WORKER_GONE)
            .map(RunEvent::reason)
            .toList();
    return reasons.get(reasons.size() - 1);
  }

  @Test
  void logNamesTheRunsAndTheirDurations() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    nowMs += 3400;
    assertThat(goneReason("a")).contains("it held 1, " + ID + ".0.0.0 run 1 for 3400 ms");
  }

  @Test
  void logSaysIfNothingWasRunning() {
    listWorker("a");
    assertThat(goneReason("a")).contains("it held nothing");
  }
}
