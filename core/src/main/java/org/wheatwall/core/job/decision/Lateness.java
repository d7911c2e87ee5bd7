package org.wheatwall.core.job.decision;

import java.util.Map;
import java.util.function.Function;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * Tells whether waiting jobs can still meet their objective. The time allowed for a job that
 * depends on others counts from when it was submitted to the scheduler, because its objective
 * covers the others too.
 */
final class Lateness {
  /** Whether a job that starts now meets its objective, in the order of the queue. */
  enum Level {
    /** It meets its objective, or has none and was not passed over for long. */
    IN_TIME,
    /** It ends after its objective. */
    LATE,
    /** It ends after a multiple of its objective. */
    HOPELESS
  }

  private static final int MS_PER_SECOND = 1000;
  // Response ratio at which a job counts as passed over for long.
  private static final int PASSED_OVER_RATIO = 10;

  // Jobs are submitted to the scheduler some tenths of a second after they were accepted.
  private static final int SUBMISSION_LAG_MS = 1000;
  // Enough for the waiting jobs that depend on others or were interrupted.
  private static final int MAX_JOBS = 16_384;

  private final Function<Job, Objective> objectives;
  private final double hopelessAfterObjectives;
  private final int starvationBoundMs;
  private final Map<String, Long> readyAtMs = new RecentEntries<>(MAX_JOBS);
  private long lastPassMs = Long.MIN_VALUE;

  /**
   * Creates a rule.
   *
   * @param starvationBoundMs longest time after which any job counts as passed over, milliseconds
   */
  Lateness(
      Function<Job, Objective> objectives, double hopelessAfterObjectives, int starvationBoundMs) {
    this.objectives = objectives;
    this.hopelessAfterObjectives = hopelessAfterObjectives;
    this.starvationBoundMs = starvationBoundMs;
  }

  /** Records that a pass begins. */
  void beginPass(long nowMs) {
    lastPassMs = nowMs;
  }

  /** Records that a job was submitted to the scheduler; repeated submissions change nothing. */
  void recordSubmitted(String jobName, long submittedAtMs) {
    if (lastPassMs > submittedAtMs && lastPassMs - submittedAtMs > SUBMISSION_LAG_MS) {
      readyAtMs.putIfAbsent(jobName, lastPassMs);
    }
  }

  /** Records that an attempt of a job did not succeed, so that its job may be submitted again. */
  void recordInterrupted(String jobName, long submittedAtMs) {
    readyAtMs.putIfAbsent(jobName, submittedAtMs);
  }

  /** Forgets a job that has ended. */
  void forget(String jobName) {
    readyAtMs.remove(jobName);
  }

  /** Returns whether a job has waited for a multiple of its run time, or for very long. */
  boolean isPassedOver(QueuedJob queued, long nowMs) {
    long waitedMs = nowMs - readyAtMs(queued);
    double expectedMs = Math.max(1, queued.expectedSeconds()) * MS_PER_SECOND;
    return waitedMs >= Math.min(starvationBoundMs, (PASSED_OVER_RATIO - 1) * expectedMs);
  }

  /** Returns how late a job would be that starts at {@code nowMs}. */
  Level level(QueuedJob queued, long nowMs) {
    Objective objective = objectives.apply(queued.job());
    if (objective.equals(Objective.NONE)) {
      return isPassedOver(queued, nowMs) ? Level.LATE : Level.IN_TIME;
    }
    double expectedMs = queued.expectedSeconds() * MS_PER_SECOND;
    double takesMs = nowMs + expectedMs - readyAtMs(queued);
    long allowedMs = objective.allowedMs(Math.round(expectedMs));
    if (takesMs <= allowedMs) {
      return Level.IN_TIME;
    }
    return takesMs <= hopelessAfterObjectives * allowedMs ? Level.LATE : Level.HOPELESS;
  }

  private long readyAtMs(QueuedJob queued) {
    return readyAtMs.getOrDefault(queued.name(), queued.submittedAtMs());
  }
}
