package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks overdue responses to find late workers and silent availability zones. A worker responds
 * within some milliseconds, so one that is late by a quarter of a second gets no new work until it
 * responds. Idle workers of a partitioned zone are not queried, so they are never late, and being
 * idle they would attract all new work. Therefore a zone is treated as silent once several of its
 * workers are late and hardly any of its workers has responded meanwhile. A worker that was
 * suspected for this reason and then responds is judged by its own responses for some time: where
 * only some paths to a zone are broken, it would otherwise be suspected again after each response.
 *
 * <p>Guards against starts in a partitioned zone: of 643 urgent jobs of nine days that ended with a
 * partition, 5 started behind it and then waited 4 to 8 s for a stop.
 */
public final class LateResponses {
  /**
   * Delay after which a response counts as late, milliseconds. Workers respond within some
   * milliseconds, and a worker wrongly taken for late is out of use only until its next response.
   */
  static final int LATE_AFTER_MS = 250;

  // One or two workers may stall by themselves.
  private static final int LATE_WORKERS_IN_ZONE = 3;

  // Where most paths to a zone are broken, single workers may still respond.
  private static final int LATE_WORKERS_PER_RESPONDING = 10;

  // Several rounds of polls, by which the worker's own responses show whether it is reachable.
  private static final int INFERENCE_PAUSE_MS = 10_000;

  private final Map<String, Due> dueByWorker = new HashMap<>();
  private final Map<String, Response> lastResponseByWorker = new HashMap<>();
  private final Set<String> suspectedWithZone = new HashSet<>();
  private final Map<String, Long> inferencePauseEndMs = new HashMap<>();

  private record Response(String zone, long atMs) {}

  private record Due(String zone, long atMs) {}

  /** Records that a worker was queried and has to respond by {@code dueMs}. */
  public void onQuerySent(String worker, String zone, long dueMs) {
    dueByWorker.put(worker, new Due(zone, dueMs));
  }

  /** Records a response of a worker. */
  public void onResponse(String worker, String zone, long nowMs) {
    dueByWorker.remove(worker);
    lastResponseByWorker.put(worker, new Response(zone, nowMs));
    if (suspectedWithZone.remove(worker)) {
      inferencePauseEndMs.put(worker, nowMs + INFERENCE_PAUSE_MS);
    }
  }

  /** Records that a worker was suspected because its zone is silent. */
  public void onSuspectedWithZone(String worker) {
    suspectedWithZone.add(worker);
  }

  /** Returns whether a worker of a silent zone may be suspected without being late itself. */
  public boolean maySuspectWithZone(String worker, long nowMs) {
    Response last = lastResponseByWorker.get(worker);
    if (last != null && isRecent(last, nowMs)) {
      return false;
    }
    Long pauseEndMs = inferencePauseEndMs.get(worker);
    if (pauseEndMs == null) {
      return true;
    }
    if (nowMs < pauseEndMs) {
      return false;
    }
    inferencePauseEndMs.remove(worker);
    return true;
  }

  /** Discards what is known of a worker that is gone. */
  public void remove(String worker) {
    dueByWorker.remove(worker);
    lastResponseByWorker.remove(worker);
    suspectedWithZone.remove(worker);
    inferencePauseEndMs.remove(worker);
  }

  /** Records that a call ended without a response; none is due until the next call. */
  public void onCallFailed(String worker) {
    dueByWorker.remove(worker);
  }

  /** Returns the workers that are late. */
  public List<String> lateWorkers(long nowMs) {
    List<String> workers = new ArrayList<>();
    dueByWorker.forEach(
        (worker, due) -> {
          if (isLate(due, nowMs)) {
            workers.add(worker);
          }
        });
    return workers;
  }

  /** Returns the availability zones of which several workers are late and hardly any responds. */
  public Set<String> silentZones(long nowMs) {
    Map<String, Integer> late = new HashMap<>();
    dueByWorker.values().stream()
        .filter(due -> isLate(due, nowMs))
        .forEach(due -> late.merge(due.zone(), 1, Integer::sum));
    if (late.isEmpty()) {
      return Set.of();
    }
    Map<String, Integer> responding = new HashMap<>();
    lastResponseByWorker.values().stream()
        .filter(response -> isRecent(response, nowMs))
        .forEach(response -> responding.merge(response.zone(), 1, Integer::sum));
    Set<String> zones = new HashSet<>();
    late.forEach(
        (zone, count) -> {
          int tolerated = responding.getOrDefault(zone, 0) * LATE_WORKERS_PER_RESPONDING;
          if (count >= LATE_WORKERS_IN_ZONE && count > tolerated) {
            zones.add(zone);
          }
        });
    return zones;
  }

  private static boolean isRecent(Response response, long nowMs) {
    return nowMs - response.atMs() < LATE_AFTER_MS;
  }

  private static boolean isLate(Due due, long nowMs) {
    return nowMs - due.atMs() >= LATE_AFTER_MS;
  }
}
