package org.wheatwall.entry.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerOperation.Kind;
import org.wheatwall.core.gang.model.WorkerOperation.Reservation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.worker.WorkerModel;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Checks that a single renewal replaces those of all parts as long as decider and worker refer to
 * the same parts. Guards against a renewal of a part that the decider does not know, and against
 * two incarnations of a worker that use the same inventory version.
 */
final class RenewalCoalescingTest {
  private static final ResourceAmount CAPACITY = new ResourceAmount(32, 1024, 8);
  private static final long VALID_UNTIL_MS = 1_000_000;

  private final WorkerModel worker = new WorkerModel("worker-1", CAPACITY);

  private static List<WorkerOperation> run(String attemptId) {
    Reservation reservation =
        new Reservation("job", 1, new ResourceAmount(1, 1, 1), List.of("worker-1"), 3600);
    return List.of(
        new WorkerOperation(Kind.RESERVE, attemptId, 1000, reservation),
        WorkerOperation.simple(Kind.START, attemptId, 1000));
  }

  private WorkerReport exchange(List<WorkerOperation> operations, long knownVersion, long nowMs) {
    return worker.exchange(
        new WorkerExchange(1, VALID_UNTIL_MS, operations, knownVersion), nowMs, 5000 + nowMs);
  }

  @Test
  void unchangedInventoryIsOmittedAndRenewedByOneOperation() {
    WorkerReport first = exchange(run("a"), 0, 0);
    exchange(run("b"), first.version(), 1);
    WorkerReport both = exchange(List.of(), first.version(), 2);
    assertThat(both.unchanged()).isFalse();
    assertThat(both.tasks()).hasSize(2);
    List<WorkerOperation> each =
        List.of(
            WorkerOperation.simple(Kind.RENEW, "a", 4000),
            WorkerOperation.simple(Kind.RENEW, "b", 4000));
    List<WorkerOperation> shortened = RenewalCoalescing.coalesce(each, Optional.of(both));
    assertThat(shortened).containsExactly(WorkerOperation.renewAll(4000));
    WorkerReport after = exchange(shortened, both.version(), 500);
    assertThat(after.unchanged()).isTrue();
    assertThat(after.withInventoryOf(Optional.of(both)).orElseThrow().tasks()).hasSize(2);
    exchange(List.of(), 0, 4400);
    assertThat(worker.runningCount()).isEqualTo(2);
    exchange(List.of(), 0, 4600);
    assertThat(worker.runningCount()).isEqualTo(0);
  }

  @Test
  void renewalOfAnOlderInventoryRenewsNothing() {
    WorkerReport first = exchange(run("a"), 0, 0);
    exchange(run("b"), first.version(), 1);
    WorkerReport report = exchange(List.of(WorkerOperation.renewAll(4000)), first.version(), 500);
    assertThat(report.unchanged()).isFalse();
    exchange(List.of(), 0, 1100);
    assertThat(worker.runningCount()).isEqualTo(0);
    assertThat(report.withInventoryOf(Optional.empty())).hasValue(report);
  }

  @Test
  void operationsOtherThanKnownRenewalsAreNotCoalesced() {
    WorkerReport first = exchange(run("a"), 0, 0);
    List<WorkerOperation> stop = List.of(WorkerOperation.simple(Kind.STOP, "a", 0));
    assertThat(RenewalCoalescing.coalesce(stop, Optional.of(first))).isEqualTo(stop);
    List<WorkerOperation> unknown = List.of(WorkerOperation.simple(Kind.RENEW, "x", 4000));
    assertThat(RenewalCoalescing.coalesce(unknown, Optional.of(first))).isEqualTo(unknown);
    WorkerModel restartedWorker = new WorkerModel("worker-1", CAPACITY);
    WorkerReport next =
        restartedWorker.exchange(
            new WorkerExchange(1, VALID_UNTIL_MS, List.of(), first.version()), 0, 6000);
    assertThat(next.unchanged()).isFalse();
  }
}
