package org.wheatwall.core.job.policy;

/** First come, first served. */
public final class SubmissionOrder implements QueueRank {
  @Override
  public double rank(QueuedJob job, long nowMs) {
    return job.submittedAtMs();
  }
}
