package org.wheatwall.entry.batch;

import com.codahale.metrics.MetricRegistry;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopExecutor;

/**
 * Services that the parts of the batch plane share.
 *
 * @param loop runs everything that changes state
 * @param timer runs tasks on the loop after a delay
 */
record BatchContext(
    LoopExecutor loop,
    LoopTimer timer,
    Clock clock,
    DecisionLog decisions,
    MetricRegistry metrics) {

  /** Returns the refusal of a call that had no effect and may be retried. */
  static Refusal unavailable(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE, detail, "repeat after the time in Retry-After, or elsewhere");
  }
}
