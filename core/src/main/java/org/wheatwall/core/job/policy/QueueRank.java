package org.wheatwall.core.job.policy;

/** Orders a queue. */
public interface QueueRank {
  /** Returns the rank of a job now; lower ranks go first. */
  double rank(QueuedJob job, long nowMs);
}
