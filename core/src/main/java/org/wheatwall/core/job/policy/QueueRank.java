package org.wheatwall.core.job.policy;

/** The order of a queue. */
public interface QueueRank {
  /** Returns the rank of a job at {@code nowMs}; lower ranks go first. */
  double rank(QueuedJob job, long nowMs);

  /** Returns the priority class of a job; jobs of a lower class always have lower ranks. */
  default int priorityClass(QueuedJob job) {
    return 0;
  }
}
