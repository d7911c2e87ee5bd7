package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.job.decision.RunningAttempt;

/** Run time ratios and expected ends that the supervisor learns from workers' reports. */
final class WorkerProgressTest {
  private static final int WORKERS = 30;
  private static final double[] CLASSES = {0.6, 1, 1.6};

  private static double[] equal() {
    double[] slowness = new double[WORKERS];
    Arrays.fill(slowness, 1);
    return slowness;
  }

  private static double[] threeClasses() {
    double[] slowness = new double[WORKERS];
    Arrays.setAll(slowness, i -> CLASSES[i % CLASSES.length]);
    return slowness;
  }

  private static void assertAllEqual(SpeedScenario scenario) {
    for (SpeedScenario.Worker worker : scenario.workers) {
      assertWithMessage(worker.id).that(scenario.ratio(worker)).isEqualTo(1.0);
    }
  }

  // Counts the workers of the slowest and the fastest class that are known as such, and checks that
  // none is taken for the opposite.
  private static int known(SpeedScenario scenario) {
    int known = 0;
    for (SpeedScenario.Worker worker : scenario.workers) {
      double ratio = scenario.ratio(worker);
      if (worker.slowness > 1) {
        assertWithMessage(worker.id).that(ratio).isAtLeast(0.9);
        known += ratio > 1.1 ? 1 : 0;
      } else if (worker.slowness < 1) {
        assertWithMessage(worker.id).that(ratio).isAtMost(1.1);
        known += ratio < 0.9 ? 1 : 0;
      }
    }
    return known;
  }

  private static JobTable logOf(SpeedScenario scenario) {
    JobTable table = new JobTable();
    long offset = 1;
    for (LogEntry entry : scenario.effects.logged) {
      table.apply(entry, offset++);
    }
    return table;
  }

  @Test
  void unequalWorkersAreKnown() {
    SpeedScenario scenario = new SpeedScenario(true, threeClasses());
    scenario.run(20_000);
    assertThat(known(scenario)).isAtLeast(WORKERS / 3);
    assertThat(scenario.events(RunEvent.Kind.WORKERS_UNEQUAL)).isNotEmpty();
    assertThat(scenario.events(RunEvent.Kind.WORKER_RUN_TIME_RATIO)).isNotEmpty();
  }

  @Test
  void switchedOffNothingIsAppliedOrLogged() {
    SpeedScenario scenario = new SpeedScenario(false, threeClasses());
    scenario.run(20_000);
    assertAllEqual(scenario);
    assertThat(scenario.events(RunEvent.Kind.WORKERS_UNEQUAL)).isEmpty();
    assertThat(scenario.events(RunEvent.Kind.WORKERS_EQUAL)).isEmpty();
  }

  @Test
  void equalWorkersHaveRatioOne() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    for (int i = 0; i < 20; i++) {
      scenario.run(1000);
      assertAllEqual(scenario);
    }
  }

  @Test
  void progressStuckAt99LeavesAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.workers.get(0).reportedPercent = percent -> 99;
    scenario.run(20_000);
    assertAllEqual(scenario);
  }

  @Test
  void progressThatJumpsBackLeavesAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.workers.get(0).reportedPercent = percent -> percent % 40;
    scenario.run(20_000);
    assertAllEqual(scenario);
  }

  @Test
  void progressFarAheadLeavesOthersEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.workers.get(0).reportedPercent = percent -> Math.min(96, percent * 5);
    scenario.run(20_000);
    for (SpeedScenario.Worker worker : scenario.workers.subList(1, WORKERS)) {
      assertWithMessage(worker.id).that(scenario.ratio(worker)).isEqualTo(1.0);
    }
  }

  @Test
  void failingTasksLeaveAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    for (int i = 0; i < 10; i++) {
      scenario.run(2000);
      scenario.failTasksOf(scenario.workers.get(0));
    }
    assertAllEqual(scenario);
  }

  @Test
  void stoppedTasksLeaveAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    for (int i = 0; i < 20; i++) {
      scenario.run(1000);
      List.copyOf(scenario.supervisor.runningGroups()).stream()
          .limit(2)
          .forEach(
              group ->
                  scenario.supervisor.cancel(group.jobId(), scenario.nowMs, SpeedScenario.WALL_MS));
    }
    assertThat(scenario.effects.stops).isNotEmpty();
    assertAllEqual(scenario);
  }

  @Test
  void slowSpellOfSecondsLeavesAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.run(10_000);
    scenario.workers.subList(0, 5).forEach(worker -> worker.slowness = 7);
    scenario.run(3000);
    scenario.workers.subList(0, 5).forEach(worker -> worker.slowness = 1);
    scenario.run(20_000);
    assertAllEqual(scenario);
  }

  @Test
  void halfOfTheWorkersSlowAtOnceForSecondsLeavesAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.run(10_000);
    scenario.workers.subList(0, WORKERS / 2).forEach(worker -> worker.slowness = 7);
    scenario.run(3000);
    scenario.workers.subList(0, WORKERS / 2).forEach(worker -> worker.slowness = 1);
    scenario.run(20_000);
    assertAllEqual(scenario);
  }

  @Test
  void lateReportsLeaveAllEqual() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.reportDelayMs = 900;
    scenario.run(20_000);
    assertAllEqual(scenario);
  }

  @Test
  void workersThatDoNotReportKeepRatioOne() {
    SpeedScenario scenario = new SpeedScenario(true, threeClasses());
    scenario.workers.subList(0, WORKERS / 2).forEach(worker -> worker.silent = true);
    scenario.run(10_000);
    for (SpeedScenario.Worker worker : scenario.workers.subList(0, WORKERS / 2)) {
      assertThat(scenario.ratio(worker)).isEqualTo(1.0);
    }
    assertThat(known(scenario)).isAtLeast(WORKERS / 2 / 3);
  }

  @Test
  void rebornWorkerIsUnknown() {
    SpeedScenario scenario = new SpeedScenario(true, threeClasses());
    scenario.run(20_000);
    SpeedScenario.Worker slow =
        scenario.workers.stream()
            .filter(worker -> scenario.ratio(worker) > 1.1)
            .findFirst()
            .orElseThrow();
    String reborn = WorkerIncarnation.startedAt(slow.id, 5).name();
    scenario.supervisor.onWorkerRestarted(slow.id, 5, scenario.nowMs);
    assertThat(scenario.supervisor.scheduler().cluster().host(reborn).orElseThrow().runTimeRatio())
        .isEqualTo(1.0);
  }

  @Test
  void newDeciderKnowsWorkersWithEndedTasksFromTheLogAtOnce() {
    SpeedScenario scenario = new SpeedScenario(true, threeClasses());
    scenario.busy = false;
    RunTimeTracker follower = new RunTimeTracker(true);
    for (int job = 0; job < 20; job++) {
      long startMs = job * 5000L;
      for (int i = 0; i < WORKERS; i++) {
        GroupKey group = new GroupKey("job-" + job, 0, 0, i);
        GroupState running = GroupState.NEW.withRunStarted(List.of("w" + i));
        follower.onGroupRecord(group, Optional.of(running), startMs);
      }
      for (int i = 0; i < WORKERS; i++) {
        GroupKey group = new GroupKey("job-" + job, 0, 0, i);
        GroupState running = GroupState.NEW.withRunStarted(List.of("w" + i));
        follower.onGroupRecord(
            group,
            Optional.of(running.withoutActiveRun(GroupPhase.DONE)),
            startMs + Math.round(2500 * CLASSES[i % CLASSES.length]));
      }
    }
    scenario.takeOver(new JobTable(), follower);
    assertThat(known(scenario)).isEqualTo(WORKERS * 2 / 3);
  }

  @Test
  void newDeciderKnowsWorkersByReportsWithinFiveSecondsOfWork() {
    SpeedScenario scenario = new SpeedScenario(true, threeClasses());
    scenario.run(10_000);
    scenario.takeOver(logOf(scenario), new RunTimeTracker(true));
    assertThat(known(scenario)).isEqualTo(0);
    scenario.run(5000);
    assertThat(known(scenario)).isAtLeast(WORKERS / 3);
  }

  @Test
  void gangIsExpectedToEndWithItsSlowestMember() {
    double[] slowness = equal();
    slowness[0] = 2;
    SpeedScenario scenario = new SpeedScenario(true, slowness);
    scenario.busy = false;
    scenario.submit(WORKERS * 2, true, 20_000);
    scenario.run(5000);
    RunningAttempt attempt = scenario.supervisor.scheduler().running().iterator().next();
    long before = scenario.nowMs;
    double expectedMs = attempt.expectedEndMs();
    while (!scenario.supervisor.runningGroups().isEmpty()) {
      scenario.run(100);
    }
    double remainingMs = scenario.nowMs - before;
    assertThat((expectedMs - before) / remainingMs).isWithin(0.15).of(1);
  }

  @Test
  void removedWorkersAreForgotten() {
    SpeedScenario scenario = new SpeedScenario(true, equal());
    scenario.run(5000);
    assertThat(scenario.supervisor.workersWithProgress()).isAtLeast(1);
    for (SpeedScenario.Worker worker : scenario.workers) {
      scenario.supervisor.onWorkerGone(worker.id, scenario.nowMs, SpeedScenario.WALL_MS);
    }
    assertThat(scenario.supervisor.workersWithProgress()).isEqualTo(0);
  }
}
