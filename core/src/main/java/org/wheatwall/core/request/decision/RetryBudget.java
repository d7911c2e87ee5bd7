package org.wheatwall.core.request.decision;

/**
 * Bounds the extra load of retries to a share of first tries, over the whole service, so that a
 * failing service is not buried under retries. A token bucket filled by first tries.
 */
public final class RetryBudget {
  /** Retries that may be saved up: one for each slot of a runner that dies, and a few more. */
  public static final int MAX_SAVED = 10;

  private final double perRequest;
  private double tokens;

  /**
   * Creates a budget.
   *
   * @param percent extra requests allowed, percent of first tries
   */
  public RetryBudget(int percent) {
    this.perRequest = percent / 100.0;
    this.tokens = Math.min(MAX_SAVED, 10 * perRequest);
  }

  /** Notes a first try. */
  public void onFirstTry() {
    tokens = Math.min(MAX_SAVED, tokens + perRequest);
  }

  /** Takes leave for one retry; false if the budget is spent. */
  public boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
