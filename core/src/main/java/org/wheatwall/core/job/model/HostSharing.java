package org.wheatwall.core.job.model;

/** Whether a job's tasks tolerate other kinds of tasks on the same host. */
public enum HostSharing {
  /** Tasks that stay within their allocation and disturb no others. */
  ORDINARY,
  /** Latency-sensitive tasks, which {@link #FILLING} tasks on the same host slow down. */
  SERVING,
  /** Tasks that use all spare processor time and slow down {@link #SERVING} tasks. */
  FILLING;

  /** Returns whether tasks of both kinds may share a host. */
  public boolean isCompatibleWith(HostSharing other) {
    boolean disturbs = this == FILLING && other == SERVING;
    boolean isDisturbed = this == SERVING && other == FILLING;
    return !disturbs && !isDisturbed;
  }
}
