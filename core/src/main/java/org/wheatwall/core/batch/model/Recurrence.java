package org.wheatwall.core.batch.model;

import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;

/**
 * Times at which the steps of a batch job run.
 *
 * @param firstDueMs first due time, Unix milliseconds
 * @param intervalMs time between due times, milliseconds
 * @param times number of due times
 */
public record Recurrence(long firstDueMs, long intervalMs, int times) {
  /** Maximum number of due times of a job. */
  public static final int MAX_TIMES = 10_000;

  /** Validates. */
  public Recurrence {
    Names.requireRange("times of a recurrence", times, 1, MAX_TIMES);
    if (firstDueMs < 0 || intervalMs < 0) {
      throw Refusal.invalid(
          "a recurrence with a negative time", "give times and intervals of zero or more");
    }
  }

  /**
   * Returns when an occurrence, counted from 0, is due, Unix milliseconds; the largest value if
   * that is beyond the range of the clock.
   */
  public long dueMs(int occurrence) {
    boolean overflows = occurrence > 0 && intervalMs > (Long.MAX_VALUE - firstDueMs) / occurrence;
    return overflows ? Long.MAX_VALUE : firstDueMs + intervalMs * occurrence;
  }
}
