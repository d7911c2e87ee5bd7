package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A worker that turns slow is known by its tasks' progress, and one that is well is not accused.
 */
final class SlowWorkerDetectorTest {
  private static final int REPORT_MS = 1000;

  private final SlowWorkerDetector speeds = new SlowWorkerDetector();
  private final List<Task> tasks = new ArrayList<>();
  private long clockMs = 50_000;

  /** A task that works for a time, slower by a factor. */
  private static final class Task {
    private final TaskName name;
    private final double workMs;
    private double doneMs;

    private Task(int index, double workMs) {
      this.name = new TaskName("00000000000000aa", 0, 0, index);
      this.workMs = workMs;
    }

    private int percent() {
      return (int) Math.min(100, doneMs * 100 / workMs);
    }
  }

  private void add(double workMs) {
    tasks.add(new Task(tasks.size(), workMs));
  }

  private void report(int reports, double slowness) {
    for (int i = 0; i < reports; i++) {
      clockMs += REPORT_MS;
      tasks.forEach(task -> task.doneMs += REPORT_MS / slowness);
      List<WorkerInventory.RunningTask> running = new ArrayList<>();
      tasks.forEach(
          task -> running.add(new WorkerInventory.RunningTask(task.name, 1, "", task.percent())));
      speeds.observe("w", new WorkerInventory(clockMs, running, List.of()), clockMs);
    }
  }

  private boolean slow() {
    return speeds.relativeSpeedIfSlow("w", clockMs).isPresent();
  }

  @Test
  void aWorkerThatTurnsSevenTimesSlowerIsKnownAfterTwoReports() {
    add(8500);
    add(7600);
    report(3, 1);
    assertThat(slow()).isFalse();
    report(2, 7);
    assertThat(slow()).isTrue();
    assertThat(speeds.relativeSpeedIfSlow("w", clockMs).orElseThrow()).isLessThan(0.34);
  }

  @Test
  void aWorkerThatStandsStillIsKnown() {
    add(8500);
    report(3, 1);
    report(2, Double.POSITIVE_INFINITY);
    assertThat(slow()).isTrue();
  }

  @Test
  void aWorkerThatGoesOnAtSpeedIsTakenBack() {
    add(30_000);
    report(3, 1);
    report(2, 7);
    assertThat(slow()).isTrue();
    report(1, 1);
    assertThat(slow()).isFalse();
  }

  @Test
  void aWorkerOfWhichNothingCanBeMeasuredIsTriedAgain() {
    add(8500);
    report(3, 1);
    report(2, 7);
    tasks.clear();
    report(2, 1);
    assertThat(slow()).isTrue();
    report(2, 1);
    assertThat(slow()).isFalse();
  }

  // Work is two or three times longer than declared, or has to wait for its first second.
  @Test
  void longWorkAndALateBeginningAreNotSlowness() {
    add(60_000);
    report(2, Double.POSITIVE_INFINITY);
    report(20, 1);
    assertThat(slow()).isFalse();
  }

  @Test
  void oneTaskOfManyThatIsHeldUpDoesNotAccuseItsWorker() {
    add(9000);
    add(9000);
    add(9000);
    report(3, 1);
    double held = tasks.get(0).doneMs;
    for (int i = 0; i < 3; i++) {
      report(1, 1);
      tasks.get(0).doneMs = held;
    }
    assertThat(slow()).isFalse();
  }

  // For work of hours a percent takes minutes; what is rounding must not be taken for a standstill.
  @Test
  void workOfHoursIsJudgedByItsOwnMeasure() {
    add(4 * 3_600_000.0);
    report(3600, 1);
    assertThat(slow()).isFalse();
    report(3600, Double.POSITIVE_INFINITY);
    assertThat(slow()).isTrue();
  }
}
