package org.wheatwall.core.job.model;

import java.util.Locale;

/** How close together the accelerators of one gang or guaranteed shape must be. */
public enum Adjacency {
  /** Anywhere in the availability zone. */
  ANY,
  /** All in one rack. */
  SAME_RACK,
  /** All on one host. */
  SAME_HOST;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
