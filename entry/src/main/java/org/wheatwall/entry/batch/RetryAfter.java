package org.wheatwall.entry.batch;

/**
 * The time after which a caller whose call was refused should retry. It is short while the job log
 * responds; during an outage it is about as long as the outage has lasted already, so that the few
 * attempts of a caller outlast the outage.
 */
public final class RetryAfter {
  /** The shortest delay, seconds; the log responds to a waiting reader within this time. */
  public static final int MIN_SECONDS = 1;

  /** The longest delay, seconds; a longer one would use up most of the caller's time. */
  public static final int MAX_SECONDS = 3;

  private static final int MS_PER_SECOND = 1000;

  private RetryAfter() {}

  /**
   * Returns the delay in seconds.
   *
   * @param outageMs milliseconds since the job log last responded
   */
  public static int seconds(long outageMs) {
    long outageSeconds = outageMs / MS_PER_SECOND;
    return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, outageSeconds));
  }
}
