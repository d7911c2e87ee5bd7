package org.wheatwall.core.job.shadow;

/**
 * What a policy achieved over a time: completion time and fragmentation, the two measures that the
 * users weigh. Not thread-safe; its owner guards it.
 */
public final class PolicyMetrics {
  private long completed;
  private double completionMs;
  private double fragmentationMs;
  private double observedMs;
  private long lastMs = -1;

  /** Notes a job that ended by itself {@code tookMs} after its submission. */
  public void recordCompletion(long tookMs) {
    completed++;
    completionMs += tookMs;
  }

  /** Notes the fragmentation since the last call. */
  public void recordFragmentation(double fragmentation, long nowMs) {
    if (lastMs >= 0) {
      fragmentationMs += fragmentation * (nowMs - lastMs);
      observedMs += nowMs - lastMs;
    }
    lastMs = nowMs;
  }

  /** Returns the jobs that ended by themselves. */
  public long completedJobs() {
    return completed;
  }

  /** Returns the mean time from submission to end, seconds; 0 if no job has ended. */
  public double meanCompletionSeconds() {
    return completed == 0 ? 0 : completionMs / completed / 1000;
  }

  /** Returns the mean share of free accelerators that lie on partly used hosts. */
  public double meanFragmentation() {
    return observedMs == 0 ? 0 : fragmentationMs / observedMs;
  }
}
