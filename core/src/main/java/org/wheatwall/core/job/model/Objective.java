package org.wheatwall.core.job.model;

/**
 * How soon jobs of a queue are to be done, from when they are handed in.
 *
 * @param stretch multiple of a job's longest chain of work that may pass; 0 if none is set
 * @param latencyMs time that may pass besides, milliseconds
 */
public record Objective(double stretch, long latencyMs) {
  /** No objective. */
  public static final Objective NONE = new Objective(0, 0);

  /** Takes what makes no sense for not set. */
  public Objective {
    stretch = stretch > 0 && Double.isFinite(stretch) ? stretch : 0;
    latencyMs = Math.max(0, latencyMs);
  }

  /**
   * Returns the time within which a job whose longest chain takes {@code chainMs} is to be done.
   */
  public long allowedMs(long chainMs) {
    return Math.round(stretch * chainMs) + latencyMs;
  }
}
