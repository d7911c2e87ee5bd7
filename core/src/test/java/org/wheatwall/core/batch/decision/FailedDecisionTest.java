package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A decision that fails must not prevent the execution of later decisions of the same scheduling
 * pass. Otherwise their groups count as running for the rest of the term without being started.
 */
final class FailedDecisionTest extends OneJobScenario {
  private static final String URGENT = "00000000000000bb";
  private static final String LATER = "00000000000000cc";
  private static final String LAST = "00000000000000dd";
  private static final int WHOLE_WORKER = 8;
  private static final int WHOLE_LARGE_WORKER = 12;
  private static final int STOP_REPEATED_MS = 600;

  private void addWorker(String id, int accelerators) {
    ResourceAmount capacity = new ResourceAmount(1000, 100, accelerators);
    supervisor.listWorker(
        new WorkerInfo(id, "127.0.0.1:1", "s", "z", "r", Set.of(), capacity, false), nowMs);
    supervisor.onReport(
        id, new WorkerInventory(nowMs, List.of(), List.of()), nowMs, nowMs, WALL_MS);
  }

  private void addJob(String id, int accelerators, int priority) {
    BatchJob job = job(id, step(1, false, false, accelerators), Optional.empty(), priority, 1);
    supervisor.accept(job, nowMs, WALL_MS);
  }

  private void decide() {
    supervisor.decide(nowMs, WALL_MS);
    effects.acknowledgeAll();
  }

  private Set<String> startedJobs() {
    return effects.starts.stream().map(start -> start.task().jobId()).collect(Collectors.toSet());
  }

  /** Prepares a task whose run waits to be started and which has used up its allowed failures. */
  private void prepareRunThatEndsItsJobWhenStopped() {
    addWorker("a", WHOLE_LARGE_WORKER);
    accept(job(ID, step(2, false, false, WHOLE_WORKER), Optional.empty(), 1, 1));
    effects.acknowledgeAll();
    for (int i = 0; i < 3; i++) {
      resolveStarts(CommandOutcome.UNKNOWN);
    }
    StartCommand first = effects.starts.get(0);
    StopCommand stop = new StopCommand("a", first.task(), first.run());
    report("a", List.of(), List.of());
    supervisor.onStopOutcome(stop, CommandOutcome.DONE, nowMs, WALL_MS);
    effects.starts.clear();
    report("a", List.of(), List.of());
    int failedIndex = first.task().index();
    report("a", List.of(), List.of(endedTask(1, failedIndex, first.run(), EndKind.FAILED)));
    assertThat(loggedEndState()).isEmpty();
  }

  @Test
  void jobThatEndsDuringASchedulingPassDoesNotPreventOtherStarts() {
    prepareRunThatEndsItsJobWhenStopped();
    addWorker("b", WHOLE_WORKER);
    addWorker("c", WHOLE_WORKER);
    addJob(URGENT, WHOLE_LARGE_WORKER, 0);
    nowMs += 10;
    addJob(LATER, WHOLE_WORKER, 1);
    decide();
    assertThat(loggedEndState()).hasValue(BatchState.FAILED);
    addJob(LAST, WHOLE_WORKER, 1);
    decide();
    assertThat(startedJobs()).containsExactly(URGENT, LATER, LAST);
  }

  @Test
  void failureToSendAStopDoesNotPreventOtherStarts() {
    addWorker("a", WHOLE_LARGE_WORKER);
    addJob(ID, WHOLE_WORKER, 1);
    decide();
    resolveStarts(CommandOutcome.DONE);
    addWorker("b", WHOLE_WORKER);
    addJob(URGENT, WHOLE_LARGE_WORKER, 0);
    addJob(LAST, WHOLE_WORKER, 1);
    effects.failNextStop();
    decide();
    assertThat(startedJobs()).containsExactly(ID, LAST);
    nowMs += STOP_REPEATED_MS;
    tick(WALL_MS);
    assertThat(effects.stops).hasSize(1);
  }

  @Test
  void failedDecisionIsLogged() {
    addWorker("a", WHOLE_WORKER);
    addJob(ID, WHOLE_WORKER, 1);
    decide();
    resolveStarts(CommandOutcome.DONE);
    addJob(URGENT, WHOLE_WORKER, 0);
    effects.failNextStop();
    decide();
    List<RunEvent> failures =
        effects.events.stream()
            .filter(event -> event.reason().contains("the command cannot be sent"))
            .toList();
    assertThat(failures).hasSize(1);
    assertThat(failures.get(0).jobId()).isEqualTo(ID);
  }
}
