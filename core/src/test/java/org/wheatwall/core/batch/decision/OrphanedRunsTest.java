package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Guards against tasks that go on running although this decider has no run of them: a worker
 * carried their start out late, or the decider that sent it is gone.
 */
final class OrphanedRunsTest extends OneJobScenario {
  private static final TaskName TASK = new TaskName(ID, 0, 0, 0);
  private static final StopCommand STOP = new StopCommand("a", TASK, 1);
  private static final int TICK_MS = 100;
  private static final int STOP_REPEAT_MS = 500;
  // A worker's task has to end 3 s after it started; the worker needs 1 s of them.
  private static final int MAX_UNTIL_STOP_MS = 2000;

  @BeforeEach
  void listWorkers() {
    listWorker("a");
  }

  private void reportRunning(int run) {
    report("a", List.of(new WorkerInventory.RunningTask(TASK, run, "", 0)), List.of());
  }

  private void advance(long ms) {
    for (long elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      tick(WALL_MS);
      effects.acknowledgeAll();
    }
  }

  private long loggedStrayRuns() {
    return effects.events.stream().filter(event -> event.kind() == RunEvent.Kind.STRAY_RUN).count();
  }

  @Test
  void aRunOfAnUnknownJobIsStoppedWhenItIsReportedAgain() {
    reportRunning(1);
    assertThat(supervisor.needsReports("a")).isTrue();
    reportRunning(1);
    assertThat(effects.stops).containsExactly(STOP);
    assertThat(loggedStrayRuns()).isEqualTo(1);
  }

  @Test
  void aRunOfACancelledJobIsStoppedAfterAChangeOfTheTerm() {
    supervisor.adopt(
        tableWith(
            job(1, false, 2),
            LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(WALL_MS)),
            LogEntry.of(LogKey.end(ID), new LogContent.End(BatchState.CANCELLED, "", WALL_MS))),
        nowMs,
        WALL_MS);
    reportRunning(1);
    reportRunning(1);
    assertThat(effects.stops).containsExactly(STOP);
  }

  // Otherwise a run of this decider would end when its lease does.
  @Test
  void leasesAreExtendedWhereAnOrphanedRunIsBesideARunOfThisDecider() {
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    TaskName orphan = new TaskName("00000000000000bb", 0, 0, 0);
    report("a", List.of(new WorkerInventory.RunningTask(orphan, 1, "", 0)), List.of());
    assertThat(supervisor.hasOnlyOrphanedRuns("a")).isFalse();
  }

  // The report may be older than the end that was processed last.
  @Test
  void aRunThatIsReportedOnceOnlyIsNotStopped() {
    reportRunning(1);
    report("a", List.of(), List.of());
    advance(MAX_UNTIL_STOP_MS);
    assertThat(effects.stops).isEmpty();
    assertThat(supervisor.needsReports("a")).isFalse();
  }

  @Test
  void anUnansweredStopIsRepeatedSoon() {
    reportRunning(1);
    reportRunning(1);
    supervisor.onStopOutcome(STOP, CommandOutcome.UNKNOWN, nowMs, WALL_MS);
    advance(STOP_REPEAT_MS);
    assertThat(effects.stops).containsExactly(STOP, STOP);
    supervisor.onStopOutcome(STOP, CommandOutcome.DONE, nowMs, WALL_MS);
    advance(2 * STOP_REPEAT_MS);
    assertThat(effects.stops).hasSize(2);
    assertThat(loggedStrayRuns()).isEqualTo(1);
  }

  // The worker stays known, since nobody could send it a stop otherwise.
  @Test
  void aRunOnAWorkerThatIsNotListedIsStopped() {
    reportRunning(1);
    supervisor.unlistWorker("a", nowMs);
    reportRunning(1);
    assertThat(effects.stops).containsExactly(STOP);
    assertThat(supervisor.workerInfo("a")).isPresent();
    report("a", List.of(), List.of());
    assertThat(supervisor.workerInfo("a")).isEmpty();
  }

  @Test
  void anUnlistedWorkerThatDoesNotRespondIsForgotten() {
    reportRunning(1);
    supervisor.unlistWorker("a", nowMs);
    advance(LEASE_EXPIRY_MS + TICK_MS);
    assertThat(supervisor.needsReports("a")).isFalse();
    assertThat(supervisor.workerInfo("a")).isEmpty();
  }

  @Test
  void aStartThatMayStillBeCarriedOutAfterItsRunWasGivenUpIsStopped() {
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    supervisor.onLeaseSent("a", nowMs);
    resolveStarts(CommandOutcome.UNKNOWN);
    supervisor.cancel(ID, nowMs, WALL_MS);
    advance(4 * LEASE_EXPIRY_MS + TICK_MS);
    assertThat(supervisor.workersInUse()).isEmpty();
    int before = effects.stops.size();
    advance(STOP_REPEAT_MS);
    assertThat(effects.stops.subList(before, effects.stops.size())).containsExactly(STOP);
    supervisor.onStopOutcome(STOP, CommandOutcome.DONE, nowMs, WALL_MS);
    int acknowledged = effects.stops.size();
    advance(2 * STOP_REPEAT_MS);
    assertThat(effects.stops).hasSize(acknowledged);
  }

  // A run of an open job may be unknown for a moment only, such as that of a gang whose end another
  // worker has reported.
  @Test
  void aRunOfAnOpenJobIsStoppedOnlyAfterSomeTime() {
    listUnreportedWorker("b");
    adoptJobActiveOn("b");
    reportRunning(1);
    reportRunning(1);
    assertThat(effects.stops).isEmpty();
    nowMs += MAX_UNTIL_STOP_MS;
    reportRunning(1);
    assertThat(effects.stops).containsExactly(STOP);
  }
}
