package org.wheatwall.core.request.decision;

/**
 * How long requests of a service take, from a smoothed mean and deviation (Jacobson's estimator, as
 * in RFC 6298). A request that could only be sent with less time left than this would end as
 * "unknown" more often than as an answer, so it is better refused while it has not run.
 *
 * <p>Not thread-safe; its owner guards it.
 */
public final class ServiceTimeEstimator {
  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS = 4;
  private static final double INITIAL_ESTIMATE_MS = 5;

  // However much times vary, a request waits for at least this share of its time before refusal.
  private static final int MIN_WAIT_DIVISOR = 2;

  private double meanMs = INITIAL_ESTIMATE_MS;
  private double deviationMs = INITIAL_ESTIMATE_MS;

  /** Takes in how long one request took, milliseconds. */
  public void record(double tookMs) {
    deviationMs += DEVIATION_GAIN * (Math.abs(tookMs - meanMs) - deviationMs);
    meanMs += MEAN_GAIN * (tookMs - meanMs);
  }

  /** Returns the mean, milliseconds. */
  public double meanMs() {
    return meanMs;
  }

  /** Returns the time that most requests need, milliseconds. */
  public double upperEstimateMs() {
    return meanMs + DEVIATIONS * deviationMs;
  }

  /**
   * Returns the latest time at which a request may be sent.
   *
   * @param nowMs when it begins to wait
   * @param deadlineMs when its answer is due
   */
  public long latestSendMs(long nowMs, long deadlineMs) {
    long half = Math.max(0, deadlineMs - nowMs) / MIN_WAIT_DIVISOR;
    return deadlineMs - Math.min((long) Math.ceil(upperEstimateMs()), half);
  }
}
