package org.wheatwall.app.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/** Tasks of cancelled jobs that nobody stops are found, unless a disturbance excuses them. */
final class SweptTaskFinderTest {
  private static final String JOB = "00000000000000aa";
  private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
  private static final long CANCELLED_MS = 20_000;
  private static final long MAX_RUN_MS = 4900;
  private static final long HOST_START_MS = 8000;

  private static List<String> find(DisturbancePlan plan, long fromMs, long untilMs) {
    TaskLedger.Event start = new TaskLedger.Event(fromMs, "a", TASK, 1, "began");
    TaskLedger.Event end = new TaskLedger.Event(untilMs, "a", TASK, 1, "STOPPED");
    return new SweptTaskFinder(plan, List.of(start, end), untilMs).find(JOB, CANCELLED_MS);
  }

  @Test
  void aTaskThatRunsOnIsFound() {
    DisturbancePlan calm = DisturbancePlan.empty();
    assertThat(find(calm, 0, CANCELLED_MS + MAX_RUN_MS)).isEmpty();
    assertThat(find(calm, 0, CANCELLED_MS + MAX_RUN_MS + 1)).hasSize(1);
  }

  @Test
  void aLateStartIsCountedFromItself() {
    DisturbancePlan calm = DisturbancePlan.empty();
    long lateMs = CANCELLED_MS + 9000;
    assertThat(find(calm, lateMs, lateMs + MAX_RUN_MS)).isEmpty();
    assertThat(find(calm, lateMs, lateMs + MAX_RUN_MS + 1)).hasSize(1);
  }

  @Test
  void theTimeCountsFromTheEndOfADisturbance() {
    long overMs = CANCELLED_MS + 1000;
    Disturbance killed =
        new Disturbance(DisturbanceKind.HOST_KILLED, 0, CANCELLED_MS - 1000, overMs);
    DisturbancePlan plan = DisturbancePlan.of(List.of(killed));
    long dueMs = overMs + HOST_START_MS + MAX_RUN_MS;
    assertThat(find(plan, 0, dueMs)).isEmpty();
    assertThat(find(plan, 0, dueMs + 1)).hasSize(1);
  }
}
