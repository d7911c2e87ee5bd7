package org.wheatwall.app.compare.live;

import org.wheatwall.core.batch.model.BatchJob;

/**
 * A job of a live day.
 *
 * @param arrivesMs when it is accepted
 * @param worksMs how long each of its tasks works at full speed, whatever was declared
 */
record LiveJob(LiveKind kind, BatchJob job, long arrivesMs, long worksMs) {
  /** Returns when it has to be done. */
  long dueMs() {
    return arrivesMs + kind.objective().allowedMs(worksMs);
  }

  /** Returns the accelerators of each of its tasks. */
  int accelerators() {
    return job.steps().get(0).taskAmount().accelerators();
  }
}
