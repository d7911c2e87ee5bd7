package org.wheatwall.core.request.decision;

/**
 * Limits the extra load of retries to a share of first attempts, over the entire service, so that
 * retries do not overload a failing service. A token bucket filled by first attempts.
 */
public final class RetryBudget {
  /**
   * Maximum number of retries that accumulate: one for each slot of a runner that crashes, and a
   * few more.
   */
  public static final int MAX_TOKENS = 10;

  private final double perRequest;
  private double tokens;

  /**
   * Creates a budget.
   *
   * @param percent allowed retries, percent of first attempts
   */
  public RetryBudget(int percent) {
    this.perRequest = percent / 100.0;
    this.tokens = Math.min(MAX_TOKENS, 10 * perRequest);
  }

  /** Records a first attempt. */
  public void onFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + perRequest);
  }

  /** Takes a token for one retry; returns false if the budget is exhausted. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
