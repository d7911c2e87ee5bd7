package org.wheatwall.entry.batch;

/**
 * When a caller that was turned away should come back. While the job log answers, that is soon;
 * while it is away, callers wait about as long as it has been away already, so that the few tries a
 * caller has outlast the outage.
 */
public final class ReturnTime {
  /** The shortest wait, seconds; the log answers a waiting reader within this time. */
  public static final int SHORTEST_SECONDS = 1;

  /** The longest wait, seconds; a caller that waits longer has little of its time left. */
  public static final int LONGEST_SECONDS = 3;

  private static final int MS_PER_SECOND = 1000;

  private ReturnTime() {}

  /**
   * Returns the wait in seconds.
   *
   * @param awayMs milliseconds since the job log last answered
   */
  public static int afterSeconds(long awayMs) {
    long away = awayMs / MS_PER_SECOND;
    return (int) Math.max(SHORTEST_SECONDS, Math.min(LONGEST_SECONDS, away));
  }
}
