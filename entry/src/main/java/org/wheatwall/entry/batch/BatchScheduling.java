package org.wheatwall.entry.batch;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.SchedulingFeatures;

/** The limits and the policy under which the batch plane schedules. */
final class BatchScheduling {
  // A job that waits this long may preempt younger ones; the other limits have their usual values.
  private static final int STARVATION_MS = 600_000;
  private static final int SCAN_LIMIT = 500;
  private static final int START_LIMIT = 64;
  // Alternatives are compared in docs/deciding.md.
  private static final int URGENT_RESERVE_PERCENT = 45;

  /** Returns the limits of a scheduling pass, and the capacity that is reserved for urgent work. */
  static SchedulerSettings settings(Mechanisms mechanisms, SchedulingFeatures features) {
    return new SchedulerSettings(
        STARVATION_MS,
        SCAN_LIMIT,
        START_LIMIT,
        HostHealthSettings.SHORT_JOBS,
        URGENT_RESERVE_PERCENT,
        mechanisms,
        features);
  }

  /** The policy of all queues: by priority, then short work and work that has waited long. */
  static final PolicySpec POLICY =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false);

  private BatchScheduling() {}
}
