package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.WorkerInventory;

/** Recurring jobs, and long-running tasks, which run until their job is cancelled. */
final class RecurringAndLongRunningJobsTest extends OneJobScenario {
  @Test
  void longRunningTaskIsRestartedWhateverItsOutcome() {
    listWorker("a");
    accept(longRunningJob(1));
    effects.acknowledgeAll();
    int run = 1;
    for (EndKind kind : List.of(EndKind.DONE, EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED)) {
      resolveStarts(CommandOutcome.DONE);
      report("a", List.of(), List.of(endedTask(run, 0, run, kind)));
      tick(WALL_MS);
      effects.acknowledgeAll();
      run++;
      StartCommand last = effects.starts.get(effects.starts.size() - 1);
      assertWithMessage("after " + kind).that(last.run()).isEqualTo(run);
    }
    assertThat(loggedEndState()).isEmpty();
  }

  @Test
  void urgentJobDoesNotPreemptLongRunningTasks() {
    listWorker("a");
    accept(longRunningJob(8));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    accept(job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 0, 1));
    effects.acknowledgeAll();
    assertThat(effects.stops).isEmpty();
    listWorker("b");
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(2);
  }

  @Test
  void eachOccurrenceStartsWhenDueAndNotBefore() {
    listWorker("a");
    accept(recurringJob(WALL_MS + 1000, 500, 3));
    tick(WALL_MS + 999);
    effects.acknowledgeAll();
    assertThat(effects.starts).isEmpty();
    tick(WALL_MS + 1000);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
    // Occurrences may overlap: the first one is still running when the second is due.
    tick(WALL_MS + 1500);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(2);
    assertThat(effects.starts.get(1).task().occurrence()).isEqualTo(1);
  }

  @Test
  void recurringJobEndsAfterItsLastOccurrence() {
    listWorker("a");
    accept(recurringJob(WALL_MS, 500, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(endedTask(1, 0, 1, EndKind.DONE)));
    effects.acknowledgeAll();
    assertThat(loggedEndState()).isEmpty();
    tick(WALL_MS + 500);
    effects.acknowledgeAll();
    StartCommand second = effects.starts.get(1);
    supervisor.onStartOutcome(second, CommandOutcome.DONE, nowMs, WALL_MS + 500);
    report(
        "a",
        List.of(),
        List.of(new WorkerInventory.EndedTask(2, second.task(), 1, EndKind.DONE, "")));
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void doneOccurrencesAreNotRunAgainAfterATakeOver() {
    GroupKey first = new GroupKey(ID, 0, 0, 0);
    LogEntry done =
        LogEntry.of(
            LogKey.group(first),
            new LogContent.Group(
                GroupState.NEW.withRunStarted(List.of("a")).withoutActiveRun(GroupPhase.DONE)));
    supervisor.adopt(tableWith(recurringJob(WALL_MS, 500, 2), done), nowMs, WALL_MS + 100);
    listWorker("a");
    tick(WALL_MS + 100);
    effects.acknowledgeAll();
    assertThat(effects.starts).isEmpty();
    tick(WALL_MS + 500);
    effects.acknowledgeAll();
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.starts.get(0).task().occurrence()).isEqualTo(1);
  }
}
