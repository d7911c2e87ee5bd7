package org.wheatwall.core.job.policy;

/**
 * Shortest expected run time first, with ageing: the rank is the response ratio (Hansen, 1971), so
 * a job that has waited long enough goes before every new job.
 *
 * @param weight weight of the run time against submission order, 0 to 1
 */
public record ShortestExpectedFirst(double weight) implements QueueRank {
  @Override
  public double rank(QueuedJob job, long nowMs) {
    double expected = Math.max(1, job.expectedSeconds());
    double responseRatio = (job.waitedSeconds(nowMs) + expected) / expected;
    double waited = job.waitedSeconds(nowMs);
    return -(weight * responseRatio + (1 - weight) * waited / 60);
  }
}
