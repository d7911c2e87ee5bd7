package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.StartCommand;

/**
 * A nearby worker may respond in the millisecond in which it was queried, and is not queried again
 * while it is idle. A run planned there later has no lease that could have expired, so it must not
 * be ended for an expired one.
 */
final class IdleWorkerLeaseTest extends OneJobScenario {
  private static final int TICK_MS = 100;

  @Test
  void aRunPlannedOnAnIdleWorkerIsNotEndedForAnOldLease() {
    listWorker("a");
    effects.acknowledgeAll();
    supervisor.onLeaseSent("a", nowMs + 10);
    report("a", List.of(), List.of());
    nowMs += 4 * LEASE_EXPIRY_MS + 1;
    accept(job(1, false, 2));
    // The record of the run is persisted only after the next tick.
    nowMs += TICK_MS;
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts.stream().map(StartCommand::run).toList()).containsExactly(1);
  }
}
