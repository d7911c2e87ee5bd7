package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A new decider meets many workers a few at a time, and all of them in the end. Workers with news
 * that is still being written down are left alone until it is.
 */
final class WorkerWatchTest {
  private static final int WORKERS = 245;
  private static final int MOST_AT_ONCE = 100;
  private static final int RENEWAL_MS = 600;
  private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);

  private final WatchFixture fixture = new WatchFixture();
  private final WatchFixture.HeldPort port = fixture.port;
  private final WorkerWatch watch = fixture.watch;

  @Test
  void onlySomeWorkersAreMetAtOnce() {
    fixture.listWorkers(WORKERS);
    watch.tick(fixture.clock.nowMs());
    assertThat(port.waiting).hasSize(MOST_AT_ONCE);
  }

  @Test
  void eachAnswerLetsAnotherWorkerBeMet() {
    fixture.listWorkers(WORKERS);
    while (!port.waiting.isEmpty()) {
      port.answerOne(true);
      assertThat(port.waiting.size()).isAtMost(MOST_AT_ONCE);
    }
    assertThat(Set.copyOf(port.met)).hasSize(WORKERS);
    assertThat(fixture.supervisor.silentWorkers()).isEmpty();
  }

  @Test
  void workersThatDoNotAnswerDoNotHoldUpTheOthers() {
    fixture.listWorkers(WORKERS);
    for (int i = 0; i < WORKERS && !port.waiting.isEmpty(); i++) {
      port.answerOne(i % 5 != 0);
    }
    assertThat(Set.copyOf(port.met)).hasSize(WORKERS);
  }

  // An end is listed by every report until it is acknowledged, which waits for the log; a report
  // that has an end to tell does not wait. Asked again at once, a worker is asked all the time.
  @Test
  void whileAnEndIsBeingWrittenDownItsWorkerIsAskedOnlyForRenewals() {
    meetOne();
    fixture.effects.holdLog();
    watch.look("worker-0");
    port.answerOne(reportOfEnd());
    assertThat(port.waiting).isEmpty();
    watch.tick(fixture.clock.nowMs());
    assertThat(port.waiting).isEmpty();
    fixture.clock.move(RENEWAL_MS);
    watch.look("worker-0");
    assertThat(port.waiting).hasSize(1);
  }

  @Test
  void anEndThatIsReportedAgainIsNotWrittenAgain() {
    meetOne();
    fixture.effects.holdLog();
    for (int i = 0; i < 5; i++) {
      watch.look("worker-0");
      port.answerOne(reportOfEnd());
      fixture.clock.move(RENEWAL_MS);
    }
    assertThat(fixture.effects.unkept()).isEqualTo(1);
  }

  @Test
  void anEndIsAcknowledgedAsSoonAsItIsWrittenDown() {
    meetOne();
    fixture.effects.holdLog();
    watch.look("worker-0");
    port.answerOne(reportOfEnd());
    fixture.effects.releaseLog();
    assertThat(port.waiting).hasSize(1);
    assertThat(fixture.supervisor.acknowledgedEndNumber("worker-0")).isEqualTo(1);
  }

  // Nothing else runs there, so no other call would tell it.
  @Test
  void anAcknowledgementThatWasLostIsRepeated() {
    meetOne();
    watch.look("worker-0");
    port.answerOne(reportOfEnd());
    port.answerOne(false);
    fixture.runTimers();
    assertThat(port.waiting).hasSize(1);
    port.answerOne(true);
    fixture.runTimers();
    assertThat(port.waiting).isEmpty();
  }

  // Nothing is known of the task: it may be a run that a worker began late.
  @Test
  void anUnknownTaskIsNotAskedForAllTheTime() {
    meetOne();
    int before = port.met.size();
    WorkerInventory stray =
        new WorkerInventory(5, List.of(new WorkerInventory.RunningTask(TASK, 1, "", 0)), List.of());
    watch.look("worker-0");
    for (int i = 0; i < 20 && !port.waiting.isEmpty(); i++) {
      boolean atOnce = port.waitMs.get(port.waitMs.size() - 1) == 0;
      port.answerOne(stray);
      fixture.clock.move(atOnce ? 1 : port.waitMs.get(port.waitMs.size() - 1));
    }
    assertThat(fixture.clock.nowMs()).isAtLeast(10_000);
    assertThat(port.met.size() - before).isAtMost(21);
  }

  // Nothing runs on most of them, so that nothing but the silence of others tells of the cut.
  @Test
  void noNewWorkGoesToAZoneThatFallsSilent() {
    fixture.listWorkers(8);
    while (!port.waiting.isEmpty()) {
      port.answerOne(true);
    }
    fixture.clock.move(1000);
    for (int i = 0; i < 3; i++) {
      watch.look("worker-" + i);
    }
    fixture.clock.move(250);
    watch.tick(fixture.clock.nowMs());
    assertThat(fixture.supervisor.usableWorkersIn("zone")).isEmpty();
    assertThat(port.waiting).hasSize(8);
    while (!port.waiting.isEmpty()) {
      port.answerOne(true);
    }
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(8);
  }

  @Test
  void aWorkerThatIsLateGetsNoNewWorkUntilItAnswers() {
    fixture.listWorkers(2);
    port.answerOne(true);
    port.answerOne(true);
    watch.look("worker-0");
    fixture.clock.move(250);
    watch.tick(fixture.clock.nowMs());
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly("worker-1");
    port.answerOne(true);
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(2);
  }

  // The answer may wait behind the tick, as the loop was busy when both came.
  @Test
  void aWorkerIsNotLateOnlyBecauseTheTickIs() {
    fixture.listWorkers(8);
    while (!port.waiting.isEmpty()) {
      port.answerOne(true);
    }
    for (int i = 0; i < 3; i++) {
      watch.look("worker-" + i);
    }
    long dueMs = fixture.clock.nowMs() + 100;
    fixture.clock.move(800);
    watch.tick(dueMs);
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(8);
  }

  private void meetOne() {
    fixture.listWorkers(1);
    port.answerOne(true);
  }

  private static WorkerInventory reportOfEnd() {
    return new WorkerInventory(
        5, List.of(), List.of(new WorkerInventory.EndedTask(1, TASK, 1, EndKind.DONE, "")));
  }
}
