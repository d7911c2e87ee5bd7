package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Finds tasks of cancelled jobs that run on for too long. A task has to be stopped within a time of
 * the acknowledgement of the cancellation, or of its own start if that was later. The time is
 * counted from the end of the last fault at the earliest.
 */
final class SweptTasksCheck {
  // The smallest limits that the users of any deployment have set.
  private static final int CANCEL_MS = 3000;
  private static final int CONTACT_MS = 3000;
  private static final int STOP_MS = 200;

  private final Map<String, Long> cancelledAtMs = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();

  private record Fault(long fromMs, long untilMs) {}

  private record Run(String worker, TaskName task, int number) {
    static Run of(TaskLedger.Event event) {
      return new Run(event.worker(), event.task(), event.run());
    }
  }

  /** Records that the cancellation of a job was acknowledged. */
  void onCancelled(String jobId, long atMs) {
    cancelledAtMs.merge(jobId, atMs, Math::min);
  }

  /** Records a fault of any host, worker or link, or of the store. */
  void addFault(long fromMs, long untilMs) {
    faults.add(new Fault(fromMs, untilMs));
  }

  /**
   * Returns the runs of cancelled jobs that went on for too long.
   *
   * @param events all starts and ends of the workers, in order
   */
  List<String> findViolations(List<TaskLedger.Event> events, long nowMs) {
    faults.sort(Comparator.comparingLong(Fault::fromMs));
    List<String> violations = new ArrayList<>();
    Map<Run, Long> startedAtMs = new HashMap<>();
    for (TaskLedger.Event event : events) {
      if (event.isStart()) {
        startedAtMs.put(Run.of(event), event.atMs());
      } else if (startedAtMs.containsKey(Run.of(event))) {
        check(Run.of(event), startedAtMs.remove(Run.of(event)), event.atMs(), violations);
      }
    }
    startedAtMs.forEach((run, startMs) -> check(run, startMs, nowMs, violations));
    return violations;
  }

  private void check(Run run, long startMs, long endMs, List<String> violations) {
    Long cancelMs = cancelledAtMs.get(run.task().jobId());
    if (cancelMs == null) {
      return;
    }
    long dueMs = Math.max(cancelMs + CANCEL_MS, startMs + CONTACT_MS) + STOP_MS;
    for (Fault fault : faults) {
      long calmAfterMs = fault.untilMs() + CANCEL_MS + STOP_MS;
      if (fault.fromMs() <= dueMs && calmAfterMs > dueMs) {
        dueMs = calmAfterMs;
      }
    }
    if (endMs > dueMs) {
      violations.add(
          run.task()
              + " run "
              + run.number()
              + " on "
              + run.worker()
              + " started at "
              + startMs
              + ", was cancelled at "
              + cancelMs
              + ", had to end by "
              + dueMs
              + " and ran until "
              + endMs);
    }
  }
}
