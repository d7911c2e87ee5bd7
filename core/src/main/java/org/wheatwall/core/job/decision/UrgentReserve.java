package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Room that other work leaves free while urgent work comes. Without it urgent work has to stop
 * something first, which takes time and throws work away; other work that waits has time for that,
 * as long as its objective is far off. Work that has to begin now to be done within its objective
 * takes the room all the same, but not once it is late anyway.
 *
 * <p>The room is a share of the hosts that may be used, and nothing has to wait while less than
 * half of the capacity is in use.
 */
final class UrgentReserve {
  // Work later than this is late whatever it is given; if all late work took the room, it would be
  // stopped for urgent work over and over.
  private static final int MAX_LATENESS_MS = 2000;
  private static final int MS_PER_SECOND = 1000;
  private static final int PERCENT = 100;

  private final int percent;
  private final Map<String, Objective> objectives = new HashMap<>();
  private final ArrivalPredictor urgentArrivals = new ArrivalPredictor();

  /**
   * Creates the rule.
   *
   * @param percent share of the usable accelerators that is left free
   */
  UrgentReserve(int percent) {
    this.percent = percent;
  }

  /** Sets how soon jobs are to be done, by the value of the label that names their class. */
  void setObjectives(Map<String, Objective> byClass) {
    objectives.clear();
    objectives.putAll(byClass);
  }

  /** Notes that urgent work was submitted. */
  void recordUrgentArrival(long atMs) {
    urgentArrivals.recordArrival(atMs);
  }

  /** Returns whether a job has to wait because it would take the room. */
  boolean mustWait(QueuedJob queued, Cluster cluster, long nowMs) {
    Job job = queued.job();
    boolean exempt = job.urgent() || job.shape().isPresent() || job.totalAccelerators() == 0;
    if (exempt
        || !urgentArrivals.isArrivalExpected(nowMs)
        || cluster.capacityInUse().isLessThanHalf()) {
      return false;
    }
    int left = cluster.freeAccelerators() - job.totalAccelerators();
    int kept = cluster.capacityInUse().usableAccelerators() * percent;
    return left * PERCENT < kept && !mustStartNow(queued, nowMs);
  }

  private boolean mustStartNow(QueuedJob queued, long nowMs) {
    String name = queued.job().labels().get(RunTimeEstimator.CLASS_LABEL).orElse("");
    Objective objective = objectives.getOrDefault(name, Objective.NONE);
    if (objective.equals(Objective.NONE)) {
      return false;
    }
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND;
    long dueMs = queued.submittedAtMs() + objective.allowedMs(Math.round(expectedMs));
    double endMs = nowMs + expectedMs;
    return endMs >= dueMs && endMs < dueMs + MAX_LATENESS_MS;
  }
}
