package org.wheatwall.app.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a run.
 *
 * @param disturbances number of disturbances of each kind
 * @param calls number of calls of all callers
 * @param starts number of tasks that workers began
 */
record SoakResult(
    long seed,
    Map<DisturbanceKind, Integer> disturbances,
    int calls,
    int accepted,
    int refused,
    int unknown,
    int cancelled,
    int starts,
    int versions,
    List<Violation> violations) {
  /** Copies the collections. */
  SoakResult {
    disturbances = Map.copyOf(disturbances);
    violations = List.copyOf(violations);
  }

  /** Returns the result in one line, without the violations. */
  String line() {
    return String.format(
        "seed=%d calls=%d accepted=%d refused=%d unknown=%d cancelled=%d starts=%d versions=%d"
            + " violations=%d disturbances=%s",
        seed,
        calls,
        accepted,
        refused,
        unknown,
        cancelled,
        starts,
        versions,
        violations.size(),
        new TreeMap<>(disturbances));
  }
}
