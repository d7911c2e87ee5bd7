package org.wheatwall.core.request.decision;

/**
 * Estimates how long requests of a service take, from a smoothed mean and deviation (Jacobson's
 * estimator, as in RFC 6298). A request sent with less time left than this estimate would end as
 * "unknown" more often than with a response, so it is refused before it is sent.
 *
 * <p>Not thread-safe; the owner must synchronize access.
 */
public final class ServiceTimeEstimator {
  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS = 4;
  private static final double INITIAL_ESTIMATE_MS = 5;

  // However much durations vary, a request may wait for 1/MIN_WAIT_DIVISOR of the time to its
  // deadline before it is refused.
  private static final int MIN_WAIT_DIVISOR = 2;

  private double meanMs = INITIAL_ESTIMATE_MS;
  private double deviationMs = INITIAL_ESTIMATE_MS;

  /** Records the duration of one request, milliseconds. */
  public void recordDuration(double tookMs) {
    deviationMs += DEVIATION_GAIN * (Math.abs(tookMs - meanMs) - deviationMs);
    meanMs += MEAN_GAIN * (tookMs - meanMs);
  }

  /** Returns the mean duration, milliseconds. */
  public double meanMs() {
    return meanMs;
  }

  /** Returns the time within which most requests end, milliseconds. */
  public double upperEstimateMs() {
    return meanMs + DEVIATIONS * deviationMs;
  }

  /**
   * Returns the latest time at which a request may be sent, milliseconds.
   *
   * @param nowMs when the request begins to wait, milliseconds
   * @param deadlineMs when its response is due, milliseconds
   */
  public long latestSendMs(long nowMs, long deadlineMs) {
    long half = Math.max(0, deadlineMs - nowMs) / MIN_WAIT_DIVISOR;
    return deadlineMs - Math.min((long) Math.ceil(upperEstimateMs()), half);
  }
}
