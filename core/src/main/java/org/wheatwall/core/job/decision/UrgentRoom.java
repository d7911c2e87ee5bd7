package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Room that other work leaves free while urgent work comes. Without it urgent work has to stop
 * something first, which takes it 0.6 s (half of 609 stops) and throws work away; other work that
 * waits has time for that, as long as its objective is far off. Work that has to begin now to be
 * done within its objective takes the room all the same, but not once it is late anyway.
 */
final class UrgentRoom {
  // Urgent work is expected while some came within this time.
  private static final int URGENT_MEMORY_MS = 10_000;
  // Work later than this is late whatever it is given. Where all work was late, it took the room
  // all
  // the same and was stopped for urgent work over and over: 411 to 596 stops a play instead of 226
  // to
  // 296, and gangs of the middle class starved (three plays each).
  private static final int LATE_ANYWAY_MS = 2000;
  private static final int MS_PER_SECOND = 1000;

  private final int percent;
  private final Map<String, Objective> objectives = new HashMap<>();
  private long lastUrgentMs = Long.MIN_VALUE / 2;

  /**
   * Creates the rule.
   *
   * @param percent share of all accelerators that is left free
   */
  UrgentRoom(int percent) {
    this.percent = percent;
  }

  /** Sets how soon jobs are to be done, by the value of the label that names their class. */
  void setObjectives(Map<String, Objective> byClass) {
    objectives.clear();
    objectives.putAll(byClass);
  }

  /** Notes that urgent work was submitted. */
  void urgentCame(long atMs) {
    lastUrgentMs = Math.max(lastUrgentMs, atMs);
  }

  /** Returns whether a job has to wait because it would take the room. */
  boolean isTakenBy(QueuedJob queued, Cluster cluster, long nowMs) {
    Job job = queued.job();
    boolean exempt = job.urgent() || job.shape().isPresent() || job.totalAccelerators() == 0;
    if (exempt || nowMs - lastUrgentMs >= URGENT_MEMORY_MS) {
      return false;
    }
    // With less than half in use nothing has to wait: urgent work finds room beside it.
    if (cluster.freeAccelerators() * 2 > cluster.totalAccelerators()) {
      return false;
    }
    int left = cluster.freeAccelerators() - job.totalAccelerators();
    return left * 100 < cluster.totalAccelerators() * percent && !isPressed(queued, nowMs);
  }

  private boolean isPressed(QueuedJob queued, long nowMs) {
    String name = queued.job().labels().get(RunTimeEstimator.CLASS_LABEL).orElse("");
    Objective objective = objectives.getOrDefault(name, Objective.NONE);
    if (objective.equals(Objective.NONE)) {
      return false;
    }
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND;
    long dueMs = queued.submittedAtMs() + objective.ms(Math.round(expectedMs));
    double endMs = nowMs + expectedMs;
    return endMs >= dueMs && endMs < dueMs + LATE_ANYWAY_MS;
  }
}
