package org.wheatwall.core.job.decision;

import java.util.HashMap;
import java.util.Map;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.policy.QueuedJob;

/** The latency objectives of jobs, by the value of the label that names their class. */
final class JobObjectives {
  private static final int MS_PER_SECOND = 1000;

  private final Map<String, Objective> byClass = new HashMap<>();

  /** Sets the objectives by class. */
  void set(Map<String, Objective> next) {
    byClass.clear();
    byClass.putAll(next);
  }

  /** Returns whether the class of a job has an objective. */
  boolean hasObjective(QueuedJob queued) {
    return !of(queued).equals(Objective.NONE);
  }

  /** Returns when a job must end to meet its objective, milliseconds. */
  long dueMs(QueuedJob queued) {
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND;
    return queued.submittedAtMs() + of(queued).allowedMs(Math.round(expectedMs));
  }

  private Objective of(QueuedJob queued) {
    return of(queued.job());
  }

  /** Returns the objective of a job, {@link Objective#NONE} if its class has none. */
  Objective of(Job job) {
    String name = job.labels().get(RunTimeEstimator.CLASS_LABEL).orElse("");
    return byClass.getOrDefault(name, Objective.NONE);
  }
}
