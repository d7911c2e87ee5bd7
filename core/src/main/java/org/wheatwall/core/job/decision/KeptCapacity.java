package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.model.Job;

/** From which jobs capacity may be withheld that is kept free for other work. */
final class KeptCapacity {
  private KeptCapacity() {}

  /**
   * Returns whether a job with a place to start may be made to wait for the sake of other work.
   * While less than half of the capacity is in use, a job that has room is promised to start within
   * 3 s. Long-running work is promised that however much is in use, since it serves users of its
   * own all the time.
   */
  static boolean mayBeWithheldFrom(Job job, Cluster cluster) {
    return !job.options().longRunning() && !cluster.capacityInUse().isLessThanHalf();
  }
}
