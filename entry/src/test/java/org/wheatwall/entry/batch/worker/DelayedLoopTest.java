package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.RunEvent;

/**
 * Workers that have responded in time are not suspected because the decision loop processed their
 * responses late. With less than one core, a scheduling pass took 350 ms; after one such pass, 56
 * of 245 workers were suspected at once, and reported again within 80 ms.
 */
final class DelayedLoopTest {
  private static final int WORKERS = 8;
  private static final int LONG_PASS_MS = 400;
  private static final int TICK_MS = 100;
  // The tick that waits for the pass was due soon after the pass began.
  private static final int TICK_DUE_IN_MS = 50;

  private final WorkerPollerFixture fixture = new WorkerPollerFixture();

  @Test
  void workersWhoseResponsesWaitForTheLoopAreNotSuspected() {
    pollAll();
    fixture.blockLoop();
    while (!fixture.port.inFlight.isEmpty()) {
      fixture.port.respondToOne(true);
    }
    long dueMs = fixture.clock.nowMs() + TICK_DUE_IN_MS;
    fixture.clock.advance(LONG_PASS_MS);
    fixture.unblockLoop(() -> fixture.poller.tick(dueMs));
    assertThat(suspectedWorkers()).isEmpty();
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(WORKERS);
  }

  @Test
  void aWorkerThatHasNotRespondedIsSuspectedAfterALongPass() {
    pollAll();
    fixture.blockLoop();
    for (int i = 1; i < WORKERS; i++) {
      fixture.port.respondToOne(true);
    }
    long dueMs = fixture.clock.nowMs() + TICK_DUE_IN_MS;
    fixture.clock.advance(LONG_PASS_MS);
    fixture.unblockLoop(() -> fixture.poller.tick(dueMs));
    fixture.clock.advance(TICK_MS);
    fixture.poller.tick(fixture.clock.nowMs());
    assertThat(suspectedWorkers()).contains("worker-7");
    assertThat(fixture.supervisor.usableWorkersIn("zone")).doesNotContain("worker-7");
  }

  private void pollAll() {
    fixture.listWorkers(WORKERS);
    while (!fixture.port.inFlight.isEmpty()) {
      fixture.port.respondToOne(true);
    }
    fixture.clock.advance(1000);
    for (int i = 0; i < WORKERS; i++) {
      fixture.poller.pollSoon("worker-" + i);
    }
  }

  private List<String> suspectedWorkers() {
    return fixture.effects.decided.stream()
        .filter(event -> event.kind() == RunEvent.Kind.WORKER_UNREACHABLE)
        .map(RunEvent::subject)
        .toList();
  }
}
