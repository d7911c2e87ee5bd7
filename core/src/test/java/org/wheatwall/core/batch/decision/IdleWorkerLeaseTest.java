package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * A worker near by may answer in the millisecond in which it was asked, and is not asked again
 * while it is idle. What is planned there later has no lease that could have run out.
 */
final class IdleWorkerLeaseTest extends OneJobScenario {
  private static final int TICK_MS = 100;

  @Test
  void aRunThatIsPlannedOnAnIdleWorkerIsNotEndedForAnOldLease() {
    listWorker("a");
    effects.keepAll();
    supervisor.leased("a", nowMs + 10);
    report("a", List.of(), List.of());
    nowMs += 4 * LAPSE_MS + 1;
    accept(job(1, false, 2));
    // The record takes a little longer to be kept than it is until the next tick.
    nowMs += TICK_MS;
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(1);
  }
}
