package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A worker that becomes slow is detected by its tasks' progress, and a healthy one is not taken for
 * slow.
 */
final class SlowWorkerDetectorTest {
  private static final int REPORT_MS = 1000;

  private final SlowWorkerDetector detector = new SlowWorkerDetector();
  private final List<Task> tasks = new ArrayList<>();
  private long clockMs = 50_000;

  /** A task with a given amount of work, on a worker that may be slower by a factor. */
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

  private void report(int reportCount, double slowness) {
    for (int i = 0; i < reportCount; i++) {
      clockMs += REPORT_MS;
      tasks.forEach(task -> task.doneMs += REPORT_MS / slowness);
      List<WorkerInventory.RunningTask> running = new ArrayList<>();
      tasks.forEach(
          task -> running.add(new WorkerInventory.RunningTask(task.name, 1, "", task.percent())));
      detector.observe("w", new WorkerInventory(clockMs, running, List.of()), clockMs);
    }
  }

  private boolean slow() {
    return detector.relativeSpeedIfSlow("w", clockMs).isPresent();
  }

  @Test
  void aWorkerThatBecomesSevenTimesSlowerIsDetectedAfterTwoReports() {
    add(8500);
    add(7600);
    report(3, 1);
    assertThat(slow()).isFalse();
    report(2, 7);
    assertThat(slow()).isTrue();
    assertThat(detector.relativeSpeedIfSlow("w", clockMs).orElseThrow()).isLessThan(0.34);
  }

  @Test
  void aStuckWorkerIsDetected() {
    add(8500);
    report(3, 1);
    report(2, Double.POSITIVE_INFINITY);
    assertThat(slow()).isTrue();
  }

  @Test
  void aWorkerThatRegainsItsSpeedIsNoLongerSlow() {
    add(30_000);
    report(3, 1);
    report(2, 7);
    assertThat(slow()).isTrue();
    report(1, 1);
    assertThat(slow()).isFalse();
  }

  @Test
  void aSlowWorkerWithoutTasksIsTriedAgain() {
    add(8500);
    report(3, 1);
    report(2, 7);
    tasks.clear();
    report(2, 1);
    assertThat(slow()).isTrue();
    report(2, 1);
    assertThat(slow()).isFalse();
  }

  // Tasks run two or three times longer than declared, or have to wait during their first second.
  @Test
  void longTasksAndADelayedStartAreNotSlowness() {
    add(60_000);
    report(2, Double.POSITIVE_INFINITY);
    report(20, 1);
    assertThat(slow()).isFalse();
  }

  @Test
  void oneBlockedTaskOfManyDoesNotMakeItsWorkerSlow() {
    add(9000);
    add(9000);
    add(9000);
    report(3, 1);
    double blockedAtMs = tasks.get(0).doneMs;
    for (int i = 0; i < 3; i++) {
      report(1, 1);
      tasks.get(0).doneMs = blockedAtMs;
    }
    assertThat(slow()).isFalse();
  }

  // One percent of a task of several hours takes minutes; rounding must not look like a stuck task.
  @Test
  void tasksOfSeveralHoursAreMeasuredOverLongerWindows() {
    add(4 * 3_600_000.0);
    report(3600, 1);
    assertThat(slow()).isFalse();
    report(3600, Double.POSITIVE_INFINITY);
    assertThat(slow()).isTrue();
  }
}
