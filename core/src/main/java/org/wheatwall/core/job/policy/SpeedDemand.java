package org.wheatwall.core.job.policy;

/**
 * Which hosts are fast enough for a job, and which of these it prefers.
 *
 * @param maxRunTimeRatio run time relative to the median host up to which a host is fast enough
 * @param fastestFirst whether it prefers faster hosts; otherwise it leaves them to other jobs
 */
public record SpeedDemand(double maxRunTimeRatio, boolean fastestFirst) {
  /** Any host is fast enough; the least slow ones are preferred. */
  public static final SpeedDemand LEAST_SLOW = new SpeedDemand(Double.POSITIVE_INFINITY, true);

  /** Returns whether some hosts may be too slow. */
  public boolean isBounded() {
    return maxRunTimeRatio < Double.POSITIVE_INFINITY;
  }
}
