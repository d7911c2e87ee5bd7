package org.wheatwall.core.job.policy;

import org.wheatwall.core.job.model.Job;

/**
 * A waiting job, as a policy sees it.
 *
 * @param submittedAtMs time of submission, milliseconds of the decision loop's clock
 * @param expectedSeconds expected run time, estimated from the declared and the learned run times
 */
public record QueuedJob(String name, Job job, long submittedAtMs, double expectedSeconds) {
  /** Returns how long the job has waited, in seconds. */
  public double waitedSeconds(long nowMs) {
    return Math.max(0, nowMs - submittedAtMs) / 1000.0;
  }
}
