package org.wheatwall.app.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.standin.task.TaskLedger;

/**
 * Finds tasks of cancelled jobs that run on for too long after the acknowledgement of the
 * cancellation, or after their own start if a worker carried it out later. The time is counted from
 * the end of the last disturbance at the earliest.
 */
final class SweptTaskFinder {
  // The requirement is 3 s and the time that a worker needs to stop a task, 0.9 s at most; the
  // remaining 1 s allows for a busy machine.
  private static final int MAX_RUN_MS = 4900;
  // The time until the process of a host is up again, and has read the log and taken over.
  private static final int HOST_START_MS = 8000;

  private final List<Disturbance> disturbances;
  private final Map<String, List<Run>> runsByJob = new HashMap<>();

  private record RunName(String worker, TaskName task, int number) {}

  private record Run(RunName name, long fromMs, long untilMs) {}

  /**
   * Creates a finder.
   *
   * @param events all starts and ends of the workers in order, milliseconds since the start of the
   *     run
   */
  SweptTaskFinder(DisturbancePlan plan, List<TaskLedger.Event> events, long nowMs) {
    disturbances = new ArrayList<>(plan.disturbances());
    disturbances.sort(Comparator.comparingLong(Disturbance::fromMs));
    Map<RunName, Long> startedAtMs = new HashMap<>();
    for (TaskLedger.Event event : events) {
      RunName name = new RunName(event.worker(), event.task(), event.run());
      if (event.isStart()) {
        startedAtMs.put(name, event.atMs());
      } else if (startedAtMs.containsKey(name)) {
        add(new Run(name, startedAtMs.remove(name), event.atMs()));
      }
    }
    startedAtMs.forEach((name, fromMs) -> add(new Run(name, fromMs, nowMs)));
  }

  private void add(Run run) {
    runsByJob.computeIfAbsent(run.name().task().jobId(), id -> new ArrayList<>()).add(run);
  }

  /** Returns a description of each run of a job, cancelled at a time, that went on for too long. */
  List<String> find(String jobId, long cancelledAtMs) {
    List<String> found = new ArrayList<>();
    for (Run run : runsByJob.getOrDefault(jobId, List.of())) {
      long dueMs = dueMs(Math.max(cancelledAtMs, run.fromMs()));
      if (run.untilMs() > dueMs) {
        found.add(
            run.name()
                + " ran from "
                + run.fromMs()
                + " to "
                + run.untilMs()
                + ", was cancelled at "
                + cancelledAtMs
                + " and had to end by "
                + dueMs);
      }
    }
    return found;
  }

  private long dueMs(long sinceMs) {
    long dueMs = sinceMs + MAX_RUN_MS;
    for (Disturbance disturbance : disturbances) {
      long overMs = disturbance.untilMs() + HOST_START_MS;
      if (disturbance.fromMs() <= dueMs && overMs >= sinceMs) {
        dueMs = Math.max(dueMs, overMs + MAX_RUN_MS);
      }
    }
    return dueMs;
  }
}
