package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.StartCommand;

/** Guards against a pending count that leaves out jobs of which no task has begun. */
final class PendingCountTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);

  private int answeredStarts;

  private void answerStart(CommandOutcome outcome) {
    effects.acknowledgeAll();
    StartCommand command = effects.starts.get(answeredStarts++);
    supervisor.onStartOutcome(command, outcome, nowMs, WALL_MS);
    effects.acknowledgeAll();
  }

  private void awaitNextStart() {
    for (int i = 0; i < 1000 && effects.starts.size() == answeredStarts; i++) {
      nowMs += 10;
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
    assertThat(effects.starts).hasSize(answeredStarts + 1);
  }

  private void endWorker(String worker) {
    supervisor.onWorkerGone(worker, nowMs, WALL_MS);
    effects.acknowledgeAll();
  }

  private JobTable loggedTable() {
    return tableWith(job(1, false, 2), effects.logged.toArray(LogEntry[]::new));
  }

  private void assertWaitingAndPending(int count) {
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
    assertThat(loggedTable().pendingJobs("q")).isEqualTo(count);
  }

  @ParameterizedTest
  @EnumSource(names = {"NOT_DONE", "TOO_LATE", "NOT_REACHED", "NO_PERMIT"})
  void aJobStaysPendingAfterARefusedStart(CommandOutcome refusal) {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(refusal);
    assertWaitingAndPending(1);
  }

  @Test
  void aJobStaysPendingAfterStartsThatFoundNoRoom() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.NO_ROOM);
    while (lastLoggedPhase(GROUP).filter(GroupPhase.WAITING::equals).isEmpty()) {
      awaitNextStart();
      answerStart(CommandOutcome.NO_ROOM);
    }
    assertWaitingAndPending(1);
  }

  @Test
  void aJobStaysPendingAfterRepeatedRefusals() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.NOT_DONE);
    awaitNextStart();
    answerStart(CommandOutcome.NOT_DONE);
    assertWaitingAndPending(1);
  }

  @Test
  void aJobStaysPendingIfALaterDeciderIsRefusedToo() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.NOT_DONE);
    JobTable table = loggedTable();
    PendingCountTest later = new PendingCountTest();
    later.supervisor.adopt(table, later.nowMs, WALL_MS);
    later.listWorker("a");
    later.awaitNextStart();
    later.answerStart(CommandOutcome.NOT_DONE);
    later.assertWaitingAndPending(1);
  }

  @Test
  void aJobThatLostItsWorkerIsNotPendingAgain() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.DONE);
    endWorker("a");
    assertWaitingAndPending(0);
  }

  @Test
  void aJobThatLostItsWorkerIsNotPendingAfterALaterRefusal() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.DONE);
    endWorker("a");
    listWorker("b");
    awaitNextStart();
    answerStart(CommandOutcome.NOT_DONE);
    assertWaitingAndPending(0);
  }

  @Test
  void aJobWhoseRunWasLostWithoutATraceIsNotPendingAfterALaterRefusal() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.DONE);
    report("a", List.of(), List.of());
    answerStart(CommandOutcome.NOT_DONE);
    assertWaitingAndPending(0);
  }

  @Test
  void aJobWhoseStartGotNoResponseIsNotPending() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.UNKNOWN);
    endWorker("a");
    assertWaitingAndPending(0);
  }

  @Test
  void aJobOfWhichOneGangMemberStartedIsNotPending() {
    listWorker("a");
    accept(job(2, true, 2));
    answerStart(CommandOutcome.DONE);
    answerStart(CommandOutcome.NOT_DONE);
    assertThat(loggedTable().pendingJobs("q")).isEqualTo(0);
    endWorker("a");
    assertThat(loggedTable().pendingJobs("q")).isEqualTo(0);
  }

  @Test
  void aJobIsNotPendingOnceAStartSucceedsAfterARefusal() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.NOT_DONE);
    awaitNextStart();
    answerStart(CommandOutcome.DONE);
    assertThat(loggedTable().pendingJobs("q")).isEqualTo(0);
  }

  @Test
  void aCancelledJobIsNotPendingAfterARefusedStart() {
    listWorker("a");
    accept(job(1, false, 2));
    answerStart(CommandOutcome.NOT_DONE);
    supervisor.cancel(ID, nowMs, WALL_MS);
    assertThat(loggedTable().pendingJobs("q")).isEqualTo(0);
  }
}
