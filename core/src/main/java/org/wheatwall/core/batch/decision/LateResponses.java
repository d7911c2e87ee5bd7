package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which workers are late with an answer, and which availability zones say nothing at all. A worker
 * answers within some milliseconds, so one that is late by a quarter of a second is not given new
 * work until it does. When a zone is cut off its idle workers have no answer to be late with, and
 * being idle they would draw all new work: several late workers, and no answer from any other of
 * their zone, make the whole zone doubtful.
 *
 * <p>Guards against starts into a zone that was cut off: of 643 urgent jobs of nine days that ended
 * with such a cut, 5 began behind it and then waited 4 to 8 s for a stop.
 */
public final class LateResponses {
  /**
   * Lateness that counts, milliseconds. Workers answer within some of them, and a doubt costs a
   * worker only the time until its next answer; other values were not tried.
   */
  static final int LATE_AFTER_MS = 250;

  // One or two workers may stand still by themselves.
  private static final int LATE_IN_ZONE = 3;

  private final Map<String, Due> due = new HashMap<>();
  private final Map<String, Long> heardInZoneMs = new HashMap<>();

  private record Due(String zone, long atMs) {}

  /** Notes that a worker was asked and has to answer by {@code dueMs}. */
  public void onQuerySent(String worker, String zone, long dueMs) {
    due.put(worker, new Due(zone, dueMs));
  }

  /** Notes an answer. */
  public void onResponse(String worker, String zone, long nowMs) {
    due.remove(worker);
    heardInZoneMs.put(zone, nowMs);
  }

  /** Notes that a call has ended without an answer, so that none is due until the next call. */
  public void onCallFailed(String worker) {
    due.remove(worker);
  }

  /** Returns the workers that are late. */
  public List<String> lateWorkers(long nowMs) {
    List<String> workers = new ArrayList<>();
    due.forEach(
        (worker, answer) -> {
          if (isLate(answer, nowMs)) {
            workers.add(worker);
          }
        });
    return workers;
  }

  /** Returns the availability zones of which several workers are late and none has answered. */
  public Set<String> silentZones(long nowMs) {
    Map<String, Integer> late = new HashMap<>();
    due.values().stream()
        .filter(answer -> isLate(answer, nowMs))
        .forEach(answer -> late.merge(answer.zone(), 1, Integer::sum));
    Set<String> zones = new HashSet<>();
    late.forEach(
        (zone, count) -> {
          long heardMs = heardInZoneMs.getOrDefault(zone, Long.MIN_VALUE / 2);
          if (count >= LATE_IN_ZONE && nowMs - heardMs >= LATE_AFTER_MS) {
            zones.add(zone);
          }
        });
    return zones;
  }

  private static boolean isLate(Due answer, long nowMs) {
    return nowMs - answer.atMs() >= LATE_AFTER_MS;
  }
}
