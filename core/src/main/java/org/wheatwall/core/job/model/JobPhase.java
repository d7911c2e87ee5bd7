package org.wheatwall.core.job.model;

import java.util.Locale;

/** Phase of a job as recorded in the log. Final phases never change. */
public enum JobPhase {
  SUBMITTED,
  CANCELLED,
  SUCCEEDED,
  FAILED;

  /** Returns whether no further attempt may start. */
  public boolean isFinal() {
    return this != SUBMITTED;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
