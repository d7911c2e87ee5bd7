package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;

/**
 * Which workers may run one step, as far as was asked. Whether a worker may run it never changes;
 * only the text that a start has to carry lapses.
 */
final class StepPermits {
  // A start may have to wait for stops, of up to 0.9 s at the users, before it goes out.
  private static final int PLANNING_RESERVE_MS = 1000;
  private static final int RESERVE_SHARE = 3;
  // Between the intent that is written down and the arrival of the start at its worker.
  private static final int LAUNCH_RESERVE_MS = 200;

  private final Map<String, Permit> permits = new HashMap<>();
  private final Set<String> requestedWorkers = new HashSet<>();
  private final Set<GroupKey> groups = new LinkedHashSet<>();
  private Set<String> described = Set.of();
  private boolean requestPending;
  private long lastResponseMs;

  private record Permit(String text, long untilMs, long planUntilMs) {}

  /** Returns the groups that were given to the scheduler and may still wait. */
  Set<GroupKey> groups() {
    return groups;
  }

  boolean requestPending() {
    return requestPending;
  }

  void onRequestSent() {
    requestPending = true;
  }

  /** Notes that a question was not answered. */
  void onRequestFailed(long nowMs) {
    requestPending = false;
    lastResponseMs = nowMs;
  }

  /**
   * Takes in an answer.
   *
   * @param askedMs when the question went out; texts may hold from then on
   */
  void onResponse(PermitRequest question, PermitResponse answer, long askedMs, long nowMs) {
    requestPending = false;
    lastResponseMs = nowMs;
    requestedWorkers.addAll(question.workers());
    long untilMs = askedMs + answer.validMs();
    int reserveMs = Math.min(PLANNING_RESERVE_MS, answer.validMs() / RESERVE_SHARE);
    answer
        .permitByWorker()
        .forEach(
            (worker, text) -> permits.put(worker, new Permit(text, untilMs, untilMs - reserveMs)));
  }

  /** Notes that a worker refused the text it was sent; it is to be asked for anew. */
  void onRefused(String worker) {
    permits.computeIfPresent(worker, (id, permit) -> new Permit(permit.text(), 0, 0));
  }

  /** Takes every text for lapsed. */
  void expireAll() {
    permits.replaceAll((worker, permit) -> new Permit(permit.text(), 0, 0));
  }

  long lastResponseMs() {
    return lastResponseMs;
  }

  boolean wasRequested(String worker) {
    return requestedWorkers.contains(worker);
  }

  int requestedCount() {
    return requestedWorkers.size();
  }

  /** Returns the workers that may run the step, whether or not their texts hold. */
  List<String> grantedWorkers() {
    return List.copyOf(permits.keySet());
  }

  /** Returns the workers on which a start may be planned now. */
  Set<String> plannableWorkers(long nowMs) {
    Set<String> workers = new HashSet<>();
    permits.forEach(
        (worker, permit) -> {
          if (nowMs < permit.planUntilMs()) {
            workers.add(worker);
          }
        });
    return workers;
  }

  /** Returns whether a start that goes out now reaches the worker in time. */
  boolean isValid(String worker, long nowMs) {
    Permit permit = permits.get(worker);
    return permit != null && nowMs < permit.untilMs() - LAUNCH_RESERVE_MS;
  }

  /** Returns what a start at a worker has to carry. */
  Optional<String> permitText(String worker) {
    return Optional.ofNullable(permits.get(worker)).map(Permit::text);
  }

  /** Notes on which workers the scheduler may plan from now on; returns whether they are others. */
  boolean refreshPlannable(long nowMs) {
    Set<String> now = plannableWorkers(nowMs);
    boolean changed = !now.equals(described);
    described = now;
    return changed;
  }
}
