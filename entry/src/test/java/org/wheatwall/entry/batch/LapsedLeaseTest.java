package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;
import org.wheatwall.standin.task.TaskPlan;
import org.wheatwall.standin.task.TaskWorkerModel;

/**
 * A task must not start again between the end of a run and its acknowledgement, unless the lease on
 * the worker lapsed between the two while the worker was unlisted.
 */
final class LapsedLeaseTest {
  private static final TaskName TASK = new TaskName("0000000000000001", 0, 0, 0);
  private static final int WORK_MS = 100;
  private static final TaskPlan PLAN = new TaskPlan(WORK_MS, 1, 1, 0);
  private static final long LEASE_UNTIL_MS = 1000;
  private static final long RENEWED_UNTIL_MS = 5000;
  private static final long TERM = 1;

  private final TaskLedger ledger = new TaskLedger();
  private final TaskWorkerModel worker = newWorker("worker");
  private final TaskWorkerModel otherWorker = newWorker("other-worker");

  private TaskWorkerModel newWorker(String id) {
    return new TaskWorkerModel(id, 1, 8, ledger, 0, 3000);
  }

  @Test
  void restartIsPermittedIfTheLeaseOfAnUnlistedWorkerLapsed() {
    ledger.recordUnlisted("worker");
    finishFirstRun();
    startAgain();
    acknowledge(LEASE_UNTIL_MS);
    assertThat(ledger.violations()).isEmpty();
  }

  @Test
  void restartIsAViolationWhileTheLeaseLasts() {
    ledger.recordUnlisted("worker");
    finishFirstRun();
    startAgain();
    acknowledge(LEASE_UNTIL_MS - 1);
    assertThat(ledger.violations()).hasSize(1);
  }

  @Test
  void restartIsAViolationIfTheLeaseWasExtendedInTime() {
    ledger.recordUnlisted("worker");
    finishFirstRun();
    startAgain();
    worker.renew(TERM, OptionalLong.of(RENEWED_UNTIL_MS), 0, LEASE_UNTIL_MS - 1);
    acknowledge(RENEWED_UNTIL_MS - 1);
    assertThat(ledger.violations()).hasSize(1);
  }

  @Test
  void restartIsAViolationIfTheLeaseLapsedOnlyBeforeTheRun() {
    ledger.recordUnlisted("worker");
    worker.tick(0, 0);
    finishFirstRun();
    startAgain();
    acknowledge(LEASE_UNTIL_MS - 1);
    assertThat(ledger.violations()).hasSize(1);
  }

  @Test
  void restartIsAViolationIfTheWorkerWasListed() {
    finishFirstRun();
    startAgain();
    acknowledge(LEASE_UNTIL_MS);
    assertThat(ledger.violations()).hasSize(1);
  }

  @Test
  void restartAfterTheAcknowledgementIsAViolationAlthoughTheLeaseLapsed() {
    ledger.recordUnlisted("worker");
    finishFirstRun();
    acknowledge(LEASE_UNTIL_MS);
    startAgain();
    assertThat(ledger.violations()).hasSize(1);
  }

  @Test
  void lapsedLeaseEndsRunsEvenIfItIsExtendedBeforeTheNextTick() {
    start(worker, 1, 0);
    worker.renew(TERM, OptionalLong.of(RENEWED_UNTIL_MS), 0, LEASE_UNTIL_MS);
    assertThat(ledger.running()).isEmpty();
  }

  private void finishFirstRun() {
    start(worker, 1, 0);
    worker.tick(WORK_MS, WORK_MS);
    assertThat(ledger.running()).isEmpty();
  }

  private void startAgain() {
    start(otherWorker, 2, WORK_MS + 1);
  }

  private void acknowledge(long atMs) {
    worker.renew(TERM, OptionalLong.of(RENEWED_UNTIL_MS), 1, atMs);
    assertThat(worker.hasUnacknowledgedEnds()).isFalse();
  }

  private static void start(TaskWorkerModel target, int run, long nowMs) {
    StartCommand command =
        new StartCommand(target.id(), TASK, run, PLAN.text(), "", Optional.empty());
    assertThat(target.start(command, TERM, LEASE_UNTIL_MS, nowMs)).isEqualTo(CommandOutcome.DONE);
  }
}
