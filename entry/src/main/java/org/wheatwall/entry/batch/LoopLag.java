package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.Histogram;
import org.wheatwall.entry.common.Clock;

/**
 * Measures how far the decision loop is behind. Events that arrive while it is busy wait, although
 * they arrived in time.
 *
 * <p>Owned by the decision loop; {@link #isBehind} may be called on any thread.
 */
final class LoopLag {
  // The same delay after which a worker that has not responded gets no new work.
  private static final int LOG_THRESHOLD_MS = 250;
  private static final int BEHIND_THRESHOLD_MS = 100;

  private final Clock clock;
  private final DecisionLog decisions;
  private final Histogram lagMs;
  private volatile long dueMs;

  LoopLag(Clock clock, DecisionLog decisions, Histogram lagMs) {
    this.clock = clock;
    this.decisions = decisions;
    this.lagMs = lagMs;
    this.dueMs = Long.MAX_VALUE;
  }

  /** Returns whether the loop is busy: its periodic task is overdue. */
  boolean isBehind() {
    return clock.nowMs() - dueMs >= BEHIND_THRESHOLD_MS;
  }

  /**
   * Records a run of the loop's periodic task.
   *
   * @param nextMs when it is due again, milliseconds from now
   * @return when it was due, milliseconds on the monotonic clock; events that arrived before that
   *     were processed before the task
   */
  long recordTick(int nextMs) {
    long nowMs = clock.nowMs();
    long wasDueMs = Math.min(dueMs, nowMs);
    long behindMs = Math.max(0, nowMs - dueMs);
    lagMs.update(behindMs);
    if (behindMs >= LOG_THRESHOLD_MS) {
      decisions.log("loop-late", field("lateMs", behindMs));
    }
    dueMs = nowMs + nextMs;
    return wasDueMs;
  }
}
