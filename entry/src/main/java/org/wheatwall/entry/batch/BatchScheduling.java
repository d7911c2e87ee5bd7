package org.wheatwall.entry.batch;

import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;

/** The bounds and the policy under which the batch plane schedules. */
final class BatchScheduling {
  // A job that waits this long may stop younger ones; the other bounds are the usual ones.
  private static final int STARVATION_MS = 600_000;
  private static final int SCAN_LIMIT = 500;
  private static final int START_LIMIT = 64;
  // Weighed by pairs of plays on three sites: docs/deciding.md.
  private static final int URGENT_HEADROOM_PERCENT = 45;

  /** Returns the bounds on one look at the queue, and the room that is left for urgent work. */
  static SchedulerSettings settings(Mechanisms mechanisms) {
    return new SchedulerSettings(
        STARVATION_MS,
        SCAN_LIMIT,
        START_LIMIT,
        HostHealthSettings.SHORT_JOBS,
        URGENT_HEADROOM_PERCENT,
        mechanisms);
  }

  /** The policy of all queues: their priority first, then short work and work that waited long. */
  static final PolicySpec POLICY =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false);

  private BatchScheduling() {}
}
