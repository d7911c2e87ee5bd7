package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.RunEvent;

/**
 * Workers that have answered in time are not doubted because the decision loop took their answers
 * in late. On a part of a core a look at the queue takes 350 ms; 56 of 245 workers were doubted at
 * once after one, and heard again within 80 ms.
 */
final class LateLoopTest {
  private static final int WORKERS = 8;
  private static final int LONG_LOOK_MS = 400;
  private static final int TICK_MS = 100;
  // The tick that waits behind the look was due soon after it began.
  private static final int DUE_IN_MS = 50;

  private final WatchFixture fixture = new WatchFixture();

  @Test
  void workersWhoseAnswersWaitForTheLoopAreNotDoubted() {
    askAll();
    fixture.holdLoop();
    while (!fixture.port.waiting.isEmpty()) {
      fixture.port.answerOne(true);
    }
    long dueMs = fixture.clock.nowMs() + DUE_IN_MS;
    fixture.clock.move(LONG_LOOK_MS);
    fixture.runLoop(() -> fixture.watch.tick(dueMs));
    assertThat(doubted()).isEmpty();
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(WORKERS);
  }

  @Test
  void aWorkerThatHasNotAnsweredIsDoubtedAfterALongLook() {
    askAll();
    fixture.holdLoop();
    for (int i = 1; i < WORKERS; i++) {
      fixture.port.answerOne(true);
    }
    long dueMs = fixture.clock.nowMs() + DUE_IN_MS;
    fixture.clock.move(LONG_LOOK_MS);
    fixture.runLoop(() -> fixture.watch.tick(dueMs));
    fixture.clock.move(TICK_MS);
    fixture.watch.tick(fixture.clock.nowMs());
    assertThat(doubted()).contains("worker-7");
    assertThat(fixture.supervisor.usableWorkersIn("zone")).doesNotContain("worker-7");
  }

  private void askAll() {
    fixture.listWorkers(WORKERS);
    while (!fixture.port.waiting.isEmpty()) {
      fixture.port.answerOne(true);
    }
    fixture.clock.move(1000);
    for (int i = 0; i < WORKERS; i++) {
      fixture.watch.look("worker-" + i);
    }
  }

  private List<String> doubted() {
    return fixture.effects.decided.stream()
        .filter(event -> event.kind() == RunEvent.Kind.WORKER_UNREACHABLE)
        .map(RunEvent::subject)
        .toList();
  }
}
