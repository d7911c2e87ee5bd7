package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.Histogram;
import org.wheatwall.entry.common.Clock;

/**
 * Measures how late the decision loop gets to what is due. What comes while it is busy waits,
 * though it came in time.
 *
 * <p>Owned by the decision loop; {@link #isBehind} may be called on any thread.
 */
final class LoopLag {
  // As late as a worker's answer may be before it gets no new work.
  private static final int LATE_MS = 250;
  private static final int BEHIND_MS = 100;

  private final Clock clock;
  private final DecisionLog decisions;
  private final Histogram lateMs;
  private volatile long dueMs;

  LoopLag(Clock clock, DecisionLog decisions, Histogram lateMs) {
    this.clock = clock;
    this.decisions = decisions;
    this.lateMs = lateMs;
    this.dueMs = Long.MAX_VALUE;
  }

  /** Returns whether the loop is busy: its regular task is overdue. */
  boolean isBehind() {
    return clock.nowMs() - dueMs >= BEHIND_MS;
  }

  /**
   * Notes a regular task of the loop.
   *
   * @param nextMs when it is due again, milliseconds from now
   * @return when it was due; what came before that was taken in before the task
   */
  long ticked(int nextMs) {
    long nowMs = clock.nowMs();
    long wasDueMs = Math.min(dueMs, nowMs);
    long behindMs = Math.max(0, nowMs - dueMs);
    lateMs.update(behindMs);
    if (behindMs >= LATE_MS) {
      decisions.note("loop-late", field("lateMs", behindMs));
    }
    dueMs = nowMs + nextMs;
    return wasDueMs;
  }
}
