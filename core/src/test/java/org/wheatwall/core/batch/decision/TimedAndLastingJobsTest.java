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

/** Jobs with due times, and tasks that last until their job is cancelled. */
final class TimedAndLastingJobsTest extends OneJobScenario {
  @Test
  void aTaskThatLastsIsStartedAgainHoweverItEnds() {
    listWorker("a");
    accept(lastingJob(1));
    effects.keepAll();
    int run = 1;
    for (EndKind kind : List.of(EndKind.DONE, EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED)) {
      answerStarts(CommandOutcome.DONE);
      report("a", List.of(), List.of(end(run, 0, run, kind)));
      tick(WALL_MS);
      effects.keepAll();
      run++;
      StartCommand last = effects.starts.get(effects.starts.size() - 1);
      assertWithMessage("after " + kind).that(last.run()).isEqualTo(run);
    }
    assertThat(written()).isEmpty();
  }

  @Test
  void urgentWorkDoesNotStopTasksThatLast() {
    listWorker("a");
    accept(lastingJob(8));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    accept(job("00000000000000bb", step(1, false, false, 8), Optional.empty(), 0, 1));
    effects.keepAll();
    assertThat(effects.stops).isEmpty();
    listWorker("b");
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(2);
  }

  @Test
  void eachTimeOfAJobStartsWhenItIsDueAndNotBefore() {
    listWorker("a");
    accept(timedJob(WALL_MS + 1000, 500, 3));
    tick(WALL_MS + 999);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    tick(WALL_MS + 1000);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
    // The times may overlap: the first still runs when the second is due.
    tick(WALL_MS + 1500);
    effects.keepAll();
    assertThat(effects.starts).hasSize(2);
    assertThat(effects.starts.get(1).task().occurrence()).isEqualTo(1);
  }

  @Test
  void aJobWithTimesEndsAfterItsLastOne() {
    listWorker("a");
    accept(timedJob(WALL_MS, 500, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    effects.keepAll();
    assertThat(written()).isEmpty();
    tick(WALL_MS + 500);
    effects.keepAll();
    StartCommand second = effects.starts.get(1);
    supervisor.onStartAnswer(second, CommandOutcome.DONE, nowMs, WALL_MS + 500);
    report(
        "a",
        List.of(),
        List.of(new WorkerInventory.EndedTask(2, second.task(), 1, EndKind.DONE, "")));
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void timesThatAreDoneAreNotRunAgainAfterATakeOver() {
    GroupKey first = new GroupKey(ID, 0, 0, 0);
    LogEntry done =
        LogEntry.of(
            LogKey.group(first),
            new LogContent.Group(
                GroupState.NEW.withRunStarted(List.of("a")).withoutActiveRun(GroupPhase.DONE)));
    supervisor.adopt(tableWith(timedJob(WALL_MS, 500, 2), done), nowMs, WALL_MS + 100);
    listWorker("a");
    tick(WALL_MS + 100);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    tick(WALL_MS + 500);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.starts.get(0).task().occurrence()).isEqualTo(1);
  }
}
