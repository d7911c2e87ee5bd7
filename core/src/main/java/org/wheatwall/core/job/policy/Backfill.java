package org.wheatwall.core.job.policy;

/** What may start while a job that goes before it waits for room. */
public enum Backfill {
  /** Nothing. */
  NONE,
  /** Anything that fits now. */
  GREEDY,
  /** What is expected not to delay the first job that waits. */
  RESERVING
}
