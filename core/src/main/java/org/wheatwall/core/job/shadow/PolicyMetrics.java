package org.wheatwall.core.job.shadow;

/**
 * Results of a policy over a period: completion time and fragmentation, the two measures that users
 * weight. Not thread-safe; the owner must synchronize access.
 */
public final class PolicyMetrics {
  private long completed;
  private double completionMs;
  private double fragmentationMs;
  private double observedMs;
  private long lastMs = -1;

  /** Records a job that completed {@code tookMs} milliseconds after its submission. */
  public void recordCompletion(long tookMs) {
    completed++;
    completionMs += tookMs;
  }

  /** Records the fragmentation since the previous call, 0 to 1. */
  public void recordFragmentation(double fragmentation, long nowMs) {
    if (lastMs >= 0) {
      fragmentationMs += fragmentation * (nowMs - lastMs);
      observedMs += nowMs - lastMs;
    }
    lastMs = nowMs;
  }

  /** Returns the number of completed jobs. */
  public long completedJobs() {
    return completed;
  }

  /** Returns the mean time from submission to completion, seconds; 0 if no job has completed. */
  public double meanCompletionSeconds() {
    return completed == 0 ? 0 : completionMs / completed / 1000;
  }

  /** Returns the mean share of free accelerators that are on partly used hosts, 0 to 1. */
  public double meanFragmentation() {
    return observedMs == 0 ? 0 : fragmentationMs / observedMs;
  }
}
