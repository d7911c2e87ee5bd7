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
 * One renewal stands for those of all parts, as long as both sides mean the same parts. Catches a
 * renewal that keeps alive a part of which the decider does not know, and a version that two lives
 * of a worker share.
 */
final class RenewalsTest {
  private static final ResourceAmount ROOM = new ResourceAmount(32, 1024, 8);
  private static final long VALID = 1_000_000;

  private final WorkerModel worker = new WorkerModel("worker-1", ROOM);

  private static List<WorkerOperation> run(String attemptId) {
    Reservation reservation =
        new Reservation("job", 1, new ResourceAmount(1, 1, 1), List.of("worker-1"), 3600);
    return List.of(
        new WorkerOperation(Kind.RESERVE, attemptId, 1000, reservation),
        WorkerOperation.simple(Kind.START, attemptId, 1000));
  }

  private WorkerReport ask(List<WorkerOperation> operations, long known, long nowMs) {
    return worker.exchange(new WorkerExchange(1, VALID, operations, known), nowMs, 5000 + nowMs);
  }

  @Test
  void unchangedInventoryIsLeftOutAndRenewedAsAWhole() {
    WorkerReport first = ask(run("a"), 0, 0);
    ask(run("b"), first.version(), 1);
    WorkerReport both = ask(List.of(), first.version(), 2);
    assertThat(both.unchanged()).isFalse();
    assertThat(both.tasks()).hasSize(2);
    List<WorkerOperation> each =
        List.of(
            WorkerOperation.simple(Kind.RENEW, "a", 4000),
            WorkerOperation.simple(Kind.RENEW, "b", 4000));
    List<WorkerOperation> shortened = Renewals.shorten(each, Optional.of(both));
    assertThat(shortened).containsExactly(WorkerOperation.renewAll(4000));
    WorkerReport after = ask(shortened, both.version(), 500);
    assertThat(after.unchanged()).isTrue();
    assertThat(after.completedFrom(Optional.of(both)).orElseThrow().tasks()).hasSize(2);
    ask(List.of(), 0, 4400);
    assertThat(worker.runningCount()).isEqualTo(2);
    ask(List.of(), 0, 4600);
    assertThat(worker.runningCount()).isEqualTo(0);
  }

  @Test
  void renewalOfAnOlderInventoryRenewsNothing() {
    WorkerReport first = ask(run("a"), 0, 0);
    ask(run("b"), first.version(), 1);
    WorkerReport report = ask(List.of(WorkerOperation.renewAll(4000)), first.version(), 500);
    assertThat(report.unchanged()).isFalse();
    ask(List.of(), 0, 1100);
    assertThat(worker.runningCount()).isEqualTo(0);
    assertThat(report.completedFrom(Optional.empty())).hasValue(report);
  }

  @Test
  void otherThanPlainRenewalsStayAsTheyAre() {
    WorkerReport first = ask(run("a"), 0, 0);
    List<WorkerOperation> stop = List.of(WorkerOperation.simple(Kind.STOP, "a", 0));
    assertThat(Renewals.shorten(stop, Optional.of(first))).isEqualTo(stop);
    List<WorkerOperation> unknown = List.of(WorkerOperation.simple(Kind.RENEW, "x", 4000));
    assertThat(Renewals.shorten(unknown, Optional.of(first))).isEqualTo(unknown);
    WorkerModel nextLife = new WorkerModel("worker-1", ROOM);
    WorkerReport next =
        nextLife.exchange(new WorkerExchange(1, VALID, List.of(), first.version()), 0, 6000);
    assertThat(next.unchanged()).isFalse();
  }
}
