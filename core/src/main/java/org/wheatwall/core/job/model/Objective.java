package org.wheatwall.core.job.model;

/**
 * Latency objective of the jobs of a queue, measured from submission to completion.
 *
 * @param stretch allowed multiple of the run time of a job's critical path; 0 if none is set
 * @param latencyMs additional time allowed, milliseconds
 */
public record Objective(double stretch, long latencyMs) {
  /** No objective. */
  public static final Objective NONE = new Objective(0, 0);

  /** Replaces invalid values by 0, which means not set. */
  public Objective {
    stretch = stretch > 0 && Double.isFinite(stretch) ? stretch : 0;
    latencyMs = Math.max(0, latencyMs);
  }

  /**
   * Returns the time allowed for a job whose critical path takes {@code criticalPathMs},
   * milliseconds.
   */
  public long allowedMs(long criticalPathMs) {
    return Math.round(stretch * criticalPathMs) + latencyMs;
  }
}
