package org.wheatwall.core.job.model;

/** How a job's tasks bear others on their host. */
public enum HostSharing {
  /** They take what they were given and disturb nobody. */
  ORDINARY,
  /** Users wait for their answers, which {@link #FILLING} tasks beside them slow down. */
  SERVING,
  /** They take whatever processor time others leave, and slow down {@link #SERVING} tasks. */
  FILLING;

  /** Returns whether tasks of both kinds may be on one host. */
  public boolean isCompatibleWith(HostSharing other) {
    boolean disturbs = this == FILLING && other == SERVING;
    boolean isDisturbed = this == SERVING && other == FILLING;
    return !disturbs && !isDisturbed;
  }
}
