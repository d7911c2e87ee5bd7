package org.wheatwall.standin.runner;

/**
 * How a runner behaves, set by {@code PUT /fault}. Percentages are shares of requests.
 *
 * @param serviceMs time to answer, milliseconds
 * @param failPercent answered with status 500
 * @param truncatePercent answered in part, then the connection closes
 * @param resetPercent run, but the connection closes without an answer
 * @param twicePercent answered twice on the same connection
 * @param latePercent answered after ten times the time
 * @param reorderPercent answered only after the answer to a later request
 */
public record RunnerBehavior(
    int serviceMs,
    int failPercent,
    int truncatePercent,
    int resetPercent,
    int twicePercent,
    int latePercent,
    int reorderPercent) {
  /** Answers everything at once. */
  public static final RunnerBehavior HEALTHY = new RunnerBehavior(0, 0, 0, 0, 0, 0, 0);

  /** Returns a sound runner that takes {@code serviceMs} for each request. */
  public static RunnerBehavior withServiceMs(int serviceMs) {
    return new RunnerBehavior(serviceMs, 0, 0, 0, 0, 0, 0);
  }
}
