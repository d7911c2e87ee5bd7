package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Guards against polling a worker that restarted under its identifier, and accepting its reports,
 * as if it were the previous incarnation.
 */
final class RestartedWorkerPollerTest {
  private static final String FIRST = WorkerIncarnation.startedAt("w", 1).name();
  private static final String SECOND = WorkerIncarnation.startedAt("w", 2).name();
  private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);

  private final WorkerPollerFixture fixture = new WorkerPollerFixture();
  private final WorkerPollerFixture.ManualWorkerPort port = fixture.port;

  private static WorkerInventory report(long startedAtMs, WorkerInventory.EndedTask... ended) {
    return new WorkerInventory(OptionalLong.of(startedAtMs), 5, List.of(), List.of(ended));
  }

  private static WorkerInventory.EndedTask end(long number) {
    return new WorkerInventory.EndedTask(number, TASK, 1, EndKind.STOPPED, "");
  }

  @Test
  void theResponseOfALaterIncarnationEndsTheEarlierOneAndIsRequestedAgain() {
    fixture.listWorker(FIRST);
    port.respondToOne(report(2, end(1)));
    assertThat(fixture.supervisor.isSuperseded(FIRST)).isTrue();
    assertThat(port.polled).containsExactly(FIRST, SECOND).inOrder();
    port.respondToOne(report(2));
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly(SECOND);
  }

  @Test
  void theResponseOfAnEarlierIncarnationCountsAsNoResponse() {
    fixture.listWorker(SECOND);
    port.respondToOne(report(1, end(1)));
    assertThat(fixture.supervisor.silentWorkers()).containsExactly(SECOND);
    assertThat(fixture.supervisor.acknowledgedEndNumber(SECOND)).isEqualTo(0);
  }

  @Test
  void aResponseAfterALaterIncarnationWasListedChangesNothing() {
    fixture.listWorker(FIRST);
    fixture.listWorker(SECOND);
    port.respondToOne(report(1, end(1)));
    assertThat(fixture.supervisor.workerInfo(FIRST)).isEmpty();
    port.respondToOne(report(2));
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly(SECOND);
  }

  @Test
  void theClockOfTheEarlierIncarnationIsNotUsedForTheLaterOne() {
    fixture.listWorker(FIRST);
    port.respondToOne(report(1));
    assertThat(fixture.poller.lease(FIRST)).isPresent();
    fixture.listWorker(SECOND);
    assertThat(fixture.poller.lease(SECOND)).isEmpty();
  }

  // A later incarnation that is not known yet would discard its own ends with a repeated number.
  @Test
  void anAcknowledgementIsNotSentTwice() {
    fixture.listWorker(FIRST);
    port.respondToOne(report(1));
    fixture.poller.pollSoon(FIRST);
    port.respondToOne(report(1, end(3)));
    port.respondToOne(report(1));
    fixture.poller.pollSoon(FIRST);
    assertThat(port.acknowledged).containsExactly(0L, 0L, 3L, 0L).inOrder();
  }
}
