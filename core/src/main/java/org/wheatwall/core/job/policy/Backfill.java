package org.wheatwall.core.job.policy;

/** Which jobs may start while a job ahead of them in the queue waits for free capacity. */
public enum Backfill {
  /** No jobs. */
  NONE,
  /** All jobs that fit now. */
  GREEDY,
  /** Jobs that are not expected to delay the first waiting job. */
  RESERVING
}
