package org.wheatwall.standin.runner;

/**
 * Behavior of a runner, set by {@code PUT /standin/fault}. Percentages are of all requests.
 *
 * @param serviceMs time until the response, milliseconds
 * @param failPercent requests answered with status 500
 * @param truncatePercent requests whose response is truncated by closing the connection
 * @param resetPercent requests that run, but whose connection closes without a response
 * @param twicePercent requests answered twice on the same connection
 * @param latePercent requests answered after ten times {@code serviceMs}
 * @param reorderPercent requests answered only after the response to a later request
 */
public record RunnerBehavior(
    int serviceMs,
    int failPercent,
    int truncatePercent,
    int resetPercent,
    int twicePercent,
    int latePercent,
    int reorderPercent) {
  /** Answers every request immediately and correctly. */
  public static final RunnerBehavior HEALTHY = new RunnerBehavior(0, 0, 0, 0, 0, 0, 0);

  /** Returns a healthy runner that takes {@code serviceMs} for each request. */
  public static RunnerBehavior withServiceMs(int serviceMs) {
    return new RunnerBehavior(serviceMs, 0, 0, 0, 0, 0, 0);
  }
}
