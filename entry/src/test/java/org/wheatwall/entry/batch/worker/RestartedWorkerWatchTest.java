package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.batch.model.WorkerInventory;

/** A worker that started again under its identifier was asked, and believed, as the one before. */
final class RestartedWorkerWatchTest {
  private static final String FIRST = WorkerIncarnation.startedAt("w", 1).name();
  private static final String SECOND = WorkerIncarnation.startedAt("w", 2).name();
  private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);

  private final WatchFixture fixture = new WatchFixture();
  private final WatchFixture.HeldPort port = fixture.port;

  private static WorkerInventory report(long bornMs, WorkerInventory.EndedTask... ended) {
    return new WorkerInventory(OptionalLong.of(bornMs), 5, List.of(), List.of(ended));
  }

  private static WorkerInventory.EndedTask end(long number) {
    return new WorkerInventory.EndedTask(number, TASK, 1, EndKind.STOPPED, "");
  }

  @Test
  void theAnswerOfALaterLifeEndsTheEarlierOneAndIsAskedForAnew() {
    fixture.listWorker(FIRST);
    port.answerOne(report(2, end(1)));
    assertThat(fixture.supervisor.isOver(FIRST)).isTrue();
    assertThat(port.met).containsExactly(FIRST, SECOND).inOrder();
    port.answerOne(report(2));
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly(SECOND);
  }

  @Test
  void theAnswerOfAnEarlierLifeCountsAsNoAnswer() {
    fixture.listWorker(SECOND);
    port.answerOne(report(1, end(1)));
    assertThat(fixture.supervisor.silentWorkers()).containsExactly(SECOND);
    assertThat(fixture.supervisor.acknowledged(SECOND)).isEqualTo(0);
  }

  @Test
  void anAnswerThatComesAfterAnEntryOfALaterLifeChangesNothing() {
    fixture.listWorker(FIRST);
    fixture.listWorker(SECOND);
    port.answerOne(report(1, end(1)));
    assertThat(fixture.supervisor.workerInfo(FIRST)).isEmpty();
    port.answerOne(report(2));
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly(SECOND);
  }

  @Test
  void theClockOfTheEarlierLifeIsNotUsedForTheLaterOne() {
    fixture.listWorker(FIRST);
    port.answerOne(report(1));
    assertThat(fixture.watch.lease(FIRST)).isPresent();
    fixture.listWorker(SECOND);
    assertThat(fixture.watch.lease(SECOND)).isEmpty();
  }

  // A later life that is not known yet would forget ends of its own by a number that is repeated.
  @Test
  void aNumberThatTheWorkerWasToldIsNotToldAgain() {
    fixture.listWorker(FIRST);
    port.answerOne(report(1));
    fixture.watch.look(FIRST);
    port.answerOne(report(1, end(3)));
    port.answerOne(report(1));
    fixture.watch.look(FIRST);
    assertThat(port.acknowledged).containsExactly(0L, 0L, 3L, 0L).inOrder();
  }
}
