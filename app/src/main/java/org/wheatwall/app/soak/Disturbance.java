package org.wheatwall.app.soak;

import org.wheatwall.core.common.Names;

/**
 * A fault that a plan injects into the cluster for some time.
 *
 * @param target number of the affected host or worker
 * @param fromMs begin, milliseconds since the start of the run
 * @param untilMs end, milliseconds since the start of the run
 */
record Disturbance(DisturbanceKind kind, int target, long fromMs, long untilMs) {
  /** Validates the range of the target and the order of the times. */
  Disturbance {
    Names.requireRange("target", target, 0, Integer.MAX_VALUE);
    if (untilMs < fromMs) {
      throw new IllegalArgumentException("the disturbance ends before it begins");
    }
  }

  /** Returns a copy that begins and ends {@code byMs} milliseconds later. */
  Disturbance shiftedBy(long byMs) {
    return new Disturbance(kind, target, fromMs + byMs, untilMs + byMs);
  }

  /** Returns whether the disturbance may change the behavior of a host. */
  boolean affectsHost(int host) {
    return switch (kind.scope()) {
      case STORE, ALL_HOSTS -> true;
      case HOST -> target == host;
      case WORKER, CONFIGURATION -> false;
    };
  }

  /** Returns whether the disturbance is active at some time between two, both inclusive. */
  boolean overlaps(long beginMs, long endMs) {
    return fromMs <= endMs && untilMs >= beginMs;
  }
}
