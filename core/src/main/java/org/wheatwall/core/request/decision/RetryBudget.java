package org.wheatwall.core.request.decision;

/**
 * Bounds the extra load of retries to a share of first tries, over the whole service, so that a
 * failing service is not buried under retries. A token bucket filled by first tries.
 */
public final class RetryBudget {
  /** Retries that may be saved up: one for each slot of a runner that dies, and a few more. */
  public static final int MAX_TOKENS = 10;

  private final double perRequest;
  private double tokens;

  /**
   * Creates a budget.
   *
   * @param percent extra requests allowed, percent of first tries
   */
  public RetryBudget(int percent) {
    this.perRequest = percent / 100.0;
    this.tokens = Math.min(MAX_TOKENS, 10 * perRequest);
  }

  /** Notes a first try. */
  public void onFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + perRequest);
  }

  /** Takes leave for one retry; false if the budget is spent. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
