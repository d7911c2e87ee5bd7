package org.wheatwall.core.job.model;

import java.util.Locale;

/** Algorithms that a scheduling policy can use. */
public enum PolicyAlgorithm {
  FIRST_FIT,
  BEST_FIT,
  RACK_PACKING,
  SHORTEST_FIRST,
  BACKFILL,
  PRIORITY_FIRST,
  BLEND;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
