package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/** The check of the schedules finds a task that nobody stops, and allows for faults. */
final class SweptTasksCheckTest {
  private static final String ID = "00000000000000aa";
  private static final TaskName TASK = new TaskName(ID, 0, 0, 0);

  private final SweptTasksCheck check = new SweptTasksCheck();

  private List<String> violations(long startMs, long endMs) {
    return check.findViolations(
        List.of(
            new TaskLedger.Event(startMs, "a", TASK, 1, "began"),
            new TaskLedger.Event(endMs, "a", TASK, 1, "STOPPED")),
        endMs);
  }

  @Test
  void aTaskThatRunsOnAfterTheCancellationIsFound() {
    check.onCancelled(ID, 10_000);
    assertThat(violations(5000, 13_200)).isEmpty();
    assertThat(violations(5000, 13_201)).hasSize(1);
  }

  @Test
  void aLateStartIsCountedFromItself() {
    check.onCancelled(ID, 10_000);
    assertThat(violations(15_000, 18_200)).isEmpty();
    assertThat(violations(15_000, 18_201)).hasSize(1);
  }

  @Test
  void aTaskThatStillRunsIsFound() {
    check.onCancelled(ID, 10_000);
    TaskLedger.Event start = new TaskLedger.Event(5000, "a", TASK, 1, "began");
    assertThat(check.findViolations(List.of(start), 20_000)).hasSize(1);
  }

  @Test
  void theTimeCountsFromTheLastFault() {
    check.onCancelled(ID, 10_000);
    check.addFault(9000, 14_000);
    assertThat(violations(5000, 17_200)).isEmpty();
    assertThat(violations(5000, 17_201)).hasSize(1);
  }

  @Test
  void aTaskOfAJobThatIsNotCancelledMayRun() {
    assertThat(violations(5000, 60_000)).isEmpty();
  }
}
