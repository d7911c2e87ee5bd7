package org.wheatwall.core.job.policy;

/**
 * Ranks by the job's priority class, then by response ratio (Hansen, 1971), so that within a class
 * short jobs go first and no job starves.
 */
public record PriorityFirst() implements QueueRank {
  // Larger than any response ratio within a class: a month of waiting over one second is 2.6e6.
  private static final double CLASS_WIDTH = 1e8;

  @Override
  public double rank(QueuedJob job, long nowMs) {
    double expected = Math.max(1, job.expectedSeconds());
    double responseRatio = (job.waitedSeconds(nowMs) + expected) / expected;
    return priorityClass(job) * CLASS_WIDTH - responseRatio;
  }

  @Override
  public int priorityClass(QueuedJob job) {
    return job.job().options().priority();
  }
}
