package org.wheatwall.core.job.model;

import java.util.Locale;

/** What the log says about a job. Final phases never change again. */
public enum JobPhase {
  SUBMITTED,
  CANCELLED,
  SUCCEEDED,
  FAILED;

  /** Returns whether no attempt may start any more. */
  public boolean isFinal() {
    return this != SUBMITTED;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
