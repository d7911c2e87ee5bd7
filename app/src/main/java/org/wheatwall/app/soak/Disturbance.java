package org.wheatwall.app.soak;

import org.wheatwall.core.common.Names;

/**
 * One disturbance of a plan.
 *
 * @param target number of the host or worker that it strikes
 * @param fromMs when it begins, milliseconds from the start of the run
 * @param untilMs when it ends
 */
record Disturbance(DisturbanceKind kind, int target, long fromMs, long untilMs) {
  /** Validates. */
  Disturbance {
    Names.requireRange("target", target, 0, Integer.MAX_VALUE);
    if (untilMs < fromMs) {
      throw new IllegalArgumentException("a disturbance ends before it begins");
    }
  }

  /** Returns the same some time later. */
  Disturbance shiftedBy(long byMs) {
    return new Disturbance(kind, target, fromMs + byMs, untilMs + byMs);
  }

  /** Returns whether a host may behave otherwise than usual because of it. */
  boolean affectsHost(int host) {
    return switch (kind.scope()) {
      case STORE, ALL_HOSTS -> true;
      case HOST -> target == host;
      case WORKER, CONFIGURATION -> false;
    };
  }

  /** Returns whether it lasts at some moment between two. */
  boolean overlaps(long beginMs, long endMs) {
    return fromMs <= endMs && untilMs >= beginMs;
  }
}
