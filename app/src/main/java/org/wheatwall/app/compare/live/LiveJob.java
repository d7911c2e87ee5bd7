package org.wheatwall.app.compare.live;

import org.wheatwall.core.batch.model.BatchJob;

/**
 * A job of a live simulation.
 *
 * @param arrivalMs time of its acceptance, milliseconds of simulated time
 * @param runTimeMs run time of each of its tasks at full speed, independent of the declared one;
 *     milliseconds
 */
record LiveJob(LiveKind kind, BatchJob job, long arrivalMs, long runTimeMs) {
  /** Returns the time by which it is to complete, milliseconds of simulated time. */
  long dueMs() {
    return arrivalMs + kind.objective().allowedMs(runTimeMs);
  }

  /** Returns the number of accelerators of each of its tasks. */
  int accelerators() {
    return job.steps().get(0).taskAmount().accelerators();
  }
}
