package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.Recurrence;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Accepted jobs with very many tasks must not exhaust the memory of the decider. Each waiting group
 * of tasks needs a kilobyte of its heap; a job of 150 bytes can have 200,000 of them due at once,
 * and every process that takes the term over reads the same job from the log.
 */
final class LargeJobsTest extends OneJobScenario {
  private static final int MAX_WAITING = 20_000;
  private static final int MAX_RECORDS_KEPT = 1000;

  private final Map<String, LogEntry> keptRecords = new HashMap<>();
  private final Map<TaskName, Integer> startsByTask = new HashMap<>();
  private int loggedRead;
  private int startsRead;
  private long endNumber;

  private static StepSpec tasks(int tasks, List<Integer> after) {
    return new StepSpec(
        tasks,
        new ResourceAmount(100, 10, 0),
        100,
        after,
        false,
        false,
        false,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        HostSharing.ORDINARY);
  }

  private static BatchJob overdue(int tasks, int times) {
    return job(
        ID, tasks(tasks, List.of()), Optional.of(new Recurrence(WALL_MS - times, 1, times)), 1, 2);
  }

  private static BatchJob wide(int number, int steps, int tasksPerStep) {
    List<StepSpec> all = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      all.add(tasks(tasksPerStep, List.of()));
    }
    String id = String.format("%016x", number);
    return new BatchJob(id, "q", "s", "w", "", all, Optional.empty(), 1, 2, WALL_MS);
  }

  private int waiting() {
    return supervisor.scheduler().waiting().size();
  }

  @Test
  void overdueTimesOfAnAcceptedJobAreNotAllQueuedAtOnce() {
    accept(overdue(20, 10_000));
    assertThat(waiting()).isGreaterThan(0);
    assertThat(waiting()).isAtMost(MAX_WAITING);
    assertThat(effects.events.stream().map(RunEvent::kind))
        .contains(RunEvent.Kind.JOB_PARTLY_RELEASED);
  }

  // Guards against a job that makes progress only when a task of it ends or at the next tick.
  @Test
  void placedGroupsAreReplacedAfterTheSamePass() {
    accept(overdue(20, 10_000));
    int before = waiting();
    listWorker("a");
    decideIfDue(WALL_MS);
    assertThat(effects.events.stream().map(RunEvent::kind))
        .doesNotContain(RunEvent.Kind.GROUP_WAITS);
    assertThat(supervisor.runningGroups()).isNotEmpty();
    assertThat(waiting()).isAtLeast(before);
  }

  @Test
  void overdueTimesOfAJobInTheLogAreNotAllQueuedWhenTheTermIsTakenOver() {
    supervisor.adopt(tableWith(overdue(20, 10_000)), nowMs, WALL_MS);
    assertThat(waiting()).isGreaterThan(0);
    assertThat(waiting()).isAtMost(MAX_WAITING);
  }

  @Test
  void tasksOfManyWideJobsAreNotAllQueuedAtOnce() {
    for (int i = 0; i < 12; i++) {
      accept(wide(i + 1, 4, 5000));
    }
    assertThat(waiting()).isAtMost(MAX_WAITING);
  }

  @Test
  void everyReadyStepOfAWideJobHasAWaitingTaskWhateverElseWaits() {
    for (int i = 0; i < 12; i++) {
      accept(wide(i + 1, 4, 5000));
    }
    accept(wide(13, 1000, 20));
    long steps =
        supervisor.scheduler().waiting().stream()
            .map(QueuedJob::name)
            .filter(name -> name.startsWith(String.format("%016x", 13)))
            .map(name -> name.substring(0, name.lastIndexOf('.')))
            .distinct()
            .count();
    assertThat(steps).isEqualTo(1000);
  }

  // Guards against a job that stands beside free workers until all tasks of an earlier one started:
  // there is room for 1,000 of these, and a pass starts 64.
  @Test
  void jobThatIsAcceptedAfterALargeOneStartsSoon() {
    listWorker("a");
    StepSpec small = step(20, false, false, 0);
    StepSpec smallest =
        new StepSpec(
            small.tasks(),
            new ResourceAmount(1, 0, 0),
            small.estimateMs(),
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            HostSharing.ORDINARY);
    accept(job(ID, smallest, Optional.of(new Recurrence(WALL_MS - 10_000, 1, 10_000)), 1, 2));
    nowMs += 1000;
    accept(job(String.format("%016x", 7), small, Optional.empty(), 1, 2));
    String id = String.format("%016x", 7);
    int rounds = 0;
    while (effects.starts.stream().noneMatch(start -> start.task().jobId().equals(id))) {
      assertThat(rounds++).isLessThan(20);
      effects.acknowledgeAll();
      report("a", List.of(), endNewStarts());
      tick(WALL_MS);
    }
  }

  @Test
  void recurringJobWithManyTasksRunsEachOnceAndKeepsFewRecords() {
    listWorker("a");
    accept(overdue(3, 2000));
    int mostKept = runUntilEnded();
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
    assertThat(startsByTask).hasSize(6000);
    assertThat(startsByTask.values().stream().distinct()).containsExactly(1);
    assertThat(mostKept).isAtMost(MAX_RECORDS_KEPT);
    assertThat(keptRecords.keySet()).containsExactly(LogKey.end(ID).text());
  }

  @Test
  void wideStepsRunInOrderAndEachTaskOnce() {
    listWorker("a");
    accept(
        new BatchJob(
            ID,
            "q",
            "s",
            "w",
            "",
            List.of(tasks(2500, List.of()), tasks(10, List.of(0))),
            Optional.empty(),
            1,
            2,
            WALL_MS));
    int mostKept = runUntilEnded();
    assertThat(loggedEndState()).hasValue(BatchState.SUCCEEDED);
    assertThat(startsByTask).hasSize(2510);
    assertThat(startsByTask.values().stream().distinct()).containsExactly(1);
    assertThat(mostKept).isAtMost(MAX_RECORDS_KEPT);
    List<Integer> steps = effects.starts.stream().map(start -> start.task().step()).toList();
    assertThat(steps).isInOrder();
  }

  // The records of folded groups are dropped one after the other; the process may end in between.
  @Test
  void noTaskRunsAgainAfterATakeOverWhereverTheLogEnds() {
    BatchJob job = overdue(3, 500);
    listWorker("a");
    accept(job);
    runUntilEnded();
    int beforeEnd = effects.logged.indexOf(endEntry());
    for (int end = 0; end <= beforeEnd; end += 211) {
      JobTable table = tableWith(job, effects.logged.subList(0, end).toArray(LogEntry[]::new));
      Set<TaskName> doneBefore = new HashSet<>();
      for (LogEntry entry : effects.logged.subList(0, end)) {
        if (entry.key().kind() == LogKey.Kind.GROUP && isDone(entry)) {
          doneBefore.add(GroupKey.parse(entry.key().name()).orElseThrow().task(0));
        }
      }
      LargeJobsTest next = new LargeJobsTest();
      next.supervisor.adopt(table, next.nowMs, WALL_MS);
      next.listWorker("b");
      next.runUntilEnded();
      assertThat(next.loggedEndState()).hasValue(BatchState.SUCCEEDED);
      assertThat(next.startsByTask.keySet().stream().anyMatch(doneBefore::contains)).isFalse();
    }
  }

  private LogEntry endEntry() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(LogKey.end(ID)))
        .findFirst()
        .orElseThrow();
  }

  private static boolean isDone(LogEntry entry) {
    return entry
        .content()
        .filter(content -> ((LogContent.Group) content).state().phase() == GroupPhase.DONE)
        .isPresent();
  }

  @Test
  void dueTimesBeyondTheRangeOfTheClockNeverComeDue() {
    Recurrence recurrence = new Recurrence(WALL_MS, Long.MAX_VALUE, 10_000);
    accept(job(ID, tasks(1, List.of()), Optional.of(recurrence), 1, 2));
    assertThat(waiting()).isEqualTo(1);
  }

  // Ends each started task in the next report; returns the highest number of records kept at once.
  private int runUntilEnded() {
    int mostKept = 0;
    for (int round = 0; round < 3000 && loggedEndState().isEmpty(); round++) {
      effects.acknowledgeAll();
      report("a", List.of(), endNewStarts());
      supervisor.tick(nowMs, WALL_MS);
      decideIfDue(WALL_MS);
      readLogged();
      mostKept = Math.max(mostKept, keptRecords.size());
    }
    return mostKept;
  }

  private List<WorkerInventory.EndedTask> endNewStarts() {
    List<WorkerInventory.EndedTask> ended = new ArrayList<>();
    for (StartCommand start : effects.starts.subList(startsRead, effects.starts.size())) {
      startsByTask.merge(start.task(), 1, Integer::sum);
      ended.add(
          new WorkerInventory.EndedTask(++endNumber, start.task(), start.run(), EndKind.DONE, ""));
    }
    List<StartCommand> started =
        List.copyOf(effects.starts.subList(startsRead, effects.starts.size()));
    startsRead = effects.starts.size();
    started.forEach(start -> supervisor.onStartOutcome(start, CommandOutcome.DONE, nowMs, WALL_MS));
    return ended;
  }

  private void readLogged() {
    for (LogEntry entry : effects.logged.subList(loggedRead, effects.logged.size())) {
      if (entry.content().isPresent()) {
        keptRecords.put(entry.key().text(), entry);
      } else {
        keptRecords.remove(entry.key().text());
      }
    }
    loggedRead = effects.logged.size();
  }
}
