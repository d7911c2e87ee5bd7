package org.wheatwall.core.job.decision;

import org.wheatwall.core.job.policy.QueuedJob;

/** How many accelerators other work leaves free for urgent work. */
interface ReservedCapacity {
  /** Records that an urgent job was submitted. */
  void recordUrgentArrival(QueuedJob urgent);

  /** Returns the number of accelerators to leave free at a time, milliseconds. */
  int accelerators(Cluster cluster, long nowMs);
}
