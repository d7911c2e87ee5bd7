package org.wheatwall.entry.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.gang.decision.GangAttempt;
import org.wheatwall.core.gang.decision.GangPhase;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.standin.worker.WorkerBehavior;
import org.wheatwall.standin.worker.WorkerModel;
import org.wheatwall.wire.platform.WorkerExchange;

/**
 * Checks that a job that uses more than it declared is throttled before the worker's resource guard
 * kills it. Guards against a decider that ignores usage: the guard would then end the job after ten
 * seconds.
 */
final class ThrottleTest {
  private static final long STEP_MS = 200;

  @Test
  void partThatExceedsItsDeclarationIsThrottledAndSucceeds() {
    ResourceAmount amount = new ResourceAmount(4, 1024, 4);
    WorkerModel worker = new WorkerModel("worker-1", amount.times(2));
    worker.setBehavior(WorkerBehavior.withUsagePercent(150));
    Job job =
        new Job(
            Labels.NONE,
            "delta",
            "z1",
            Optional.empty(),
            1,
            amount,
            Adjacency.ANY,
            30,
            false,
            false,
            JobPhase.SUBMITTED);
    Placement placement = new Placement(List.of("worker-1"));
    GangAttempt attempt =
        GangAttempt.begin("a", "job", job, placement, GangTimes.DEFAULT, Set.of(), 0);
    for (long nowMs = 0; nowMs < 60_000 && attempt.phase() != GangPhase.ENDED; nowMs += STEP_MS) {
      attempt.advance(nowMs);
      List<WorkerOperation> operations = new ArrayList<>();
      attempt.operationFor("worker-1", nowMs).ifPresent(operations::add);
      WorkerExchange exchange = new WorkerExchange(1, nowMs + 1000, operations, 0);
      attempt.onReport(worker.exchange(exchange, nowMs, nowMs), nowMs);
    }
    assertThat(attempt.endReason()).isEqualTo(EndReason.SUCCEEDED);
    assertThat(worker.ledger().get(1).reason()).isEqualTo("succeeded");
  }
}
