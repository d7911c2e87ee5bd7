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
 * One decision that cannot be carried out left those behind it in the same look undone, and what
 * they concern was counted as running for the rest of the term.
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
    effects.keepAll();
  }

  private Set<String> startedJobs() {
    return effects.starts.stream().map(order -> order.task().jobId()).collect(Collectors.toSet());
  }

  /** Has the first of two tasks wait for its order, with a failure that was the last allowed. */
  private void haveARunThatEndsItsJobWhenStopped() {
    addWorker("a", WHOLE_LARGE_WORKER);
    accept(job(ID, step(2, false, false, WHOLE_WORKER), Optional.empty(), 1, 1));
    effects.keepAll();
    for (int i = 0; i < 3; i++) {
      answerStarts(CommandOutcome.UNKNOWN);
    }
    StartCommand first = effects.starts.get(0);
    StopCommand stop = new StopCommand("a", first.task(), first.run());
    report("a", List.of(), List.of());
    supervisor.onStopAnswer(stop, CommandOutcome.DONE, nowMs, WALL_MS);
    effects.starts.clear();
    report("a", List.of(), List.of());
    int failed = first.task().index();
    report("a", List.of(), List.of(end(1, failed, first.run(), EndKind.FAILED)));
    assertThat(written()).isEmpty();
  }

  @Test
  void aJobThatEndsWithinALookDoesNotKeepOthersFromStarting() {
    haveARunThatEndsItsJobWhenStopped();
    addWorker("b", WHOLE_WORKER);
    addWorker("c", WHOLE_WORKER);
    addJob(URGENT, WHOLE_LARGE_WORKER, 0);
    nowMs += 10;
    addJob(LATER, WHOLE_WORKER, 1);
    decide();
    assertThat(written()).hasValue(BatchState.FAILED);
    addJob(LAST, WHOLE_WORKER, 1);
    decide();
    assertThat(startedJobs()).containsExactly(URGENT, LATER, LAST);
  }

  @Test
  void aStopThatCannotBeSentDoesNotKeepOthersFromStarting() {
    addWorker("a", WHOLE_LARGE_WORKER);
    addJob(ID, WHOLE_WORKER, 1);
    decide();
    answerStarts(CommandOutcome.DONE);
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
  void operatorsAreToldOfADecisionThatFailed() {
    addWorker("a", WHOLE_WORKER);
    addJob(ID, WHOLE_WORKER, 1);
    decide();
    answerStarts(CommandOutcome.DONE);
    addJob(URGENT, WHOLE_WORKER, 0);
    effects.failNextStop();
    decide();
    List<RunEvent> failures =
        effects.events.stream()
            .filter(event -> event.reason().contains("the order cannot be sent"))
            .toList();
    assertThat(failures).hasSize(1);
    assertThat(failures.get(0).jobId()).isEqualTo(ID);
  }
}
