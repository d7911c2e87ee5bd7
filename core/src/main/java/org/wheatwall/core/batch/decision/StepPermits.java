package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;

/**
 * The permits of one step, by worker. Whether a worker may run the step never changes; only the
 * permit text that a start command has to carry expires.
 */
final class StepPermits {
  // A start may have to wait for preempted tasks to stop, up to 0.9 s in deployments, before it is
  // sent.
  private static final int PLANNING_RESERVE_MS = 1000;
  private static final int PLANNING_RESERVE_DIVISOR = 3;
  // Time from recording the intended run in the job log to the arrival of the start at its worker.
  private static final int LAUNCH_RESERVE_MS = 200;
  // A renewal may take longer than the request before it.
  private static final int RENEWAL_RESERVE_MS = 200;
  // Limits how much more often permits are renewed if responses are slow.
  private static final int RENEWAL_LEAD_DIVISOR = 4;

  private final Map<String, Permit> permits = new HashMap<>();
  private final Set<String> requestedWorkers = new HashSet<>();
  private final Set<GroupKey> groups = new LinkedHashSet<>();
  private Set<String> lastPlannable = Set.of();
  private boolean requestPending;
  private long requestedAtMs;
  private long lastResponseMs;
  private long renewalLeadMs;

  private record Permit(String text, long validUntilMs, long plannableUntilMs) {}

  /** Returns the groups that were submitted to the scheduler and may still wait. */
  Set<GroupKey> groups() {
    return groups;
  }

  boolean requestPending() {
    return requestPending;
  }

  void onRequestSent(long nowMs) {
    requestPending = true;
    requestedAtMs = nowMs;
  }

  /** Records that a request failed. */
  void onRequestFailed(long nowMs) {
    requestPending = false;
    lastResponseMs = nowMs;
  }

  /**
   * Stores the permits of a response.
   *
   * @param sentAtMs when the request was sent, milliseconds; the permits' validity counts from then
   */
  void onResponse(PermitRequest request, PermitResponse response, long sentAtMs, long nowMs) {
    requestPending = false;
    lastResponseMs = nowMs;
    requestedWorkers.addAll(request.workers());
    request.workers().forEach(permits::remove);
    long validUntilMs = sentAtMs + response.validMs();
    int reserveMs = Math.min(PLANNING_RESERVE_MS, response.validMs() / PLANNING_RESERVE_DIVISOR);
    long requestTookMs = nowMs - requestedAtMs;
    int plannableMs = response.validMs() - reserveMs;
    renewalLeadMs =
        Math.min(requestTookMs + RENEWAL_RESERVE_MS, plannableMs / RENEWAL_LEAD_DIVISOR);
    response
        .permitByWorker()
        .forEach(
            (worker, text) ->
                permits.put(worker, new Permit(text, validUntilMs, validUntilMs - reserveMs)));
  }

  /** Marks the permit of a worker that refused it as expired, so that it is requested again. */
  void onRefused(String worker) {
    permits.computeIfPresent(worker, (id, permit) -> new Permit(permit.text(), 0, 0));
  }

  /** Marks all permits as expired. */
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

  /** Returns the workers that may run the step, including those whose permits have expired. */
  Set<String> grantedWorkers() {
    return Set.copyOf(permits.keySet());
  }

  /** Returns the workers on which a start can still be planned when a request made now is done. */
  Set<String> lastingWorkers(long nowMs) {
    return plannableWorkers(nowMs + renewalLeadMs);
  }

  /** Returns the workers that may run the step but are not among {@link #lastingWorkers}. */
  Set<String> renewableWorkers(long nowMs) {
    Set<String> workers = new HashSet<>(permits.keySet());
    workers.removeAll(lastingWorkers(nowMs));
    return workers;
  }

  /** Returns the workers whose permits last long enough to plan a start on them now. */
  Set<String> plannableWorkers(long nowMs) {
    Set<String> workers = new HashSet<>();
    permits.forEach(
        (worker, permit) -> {
          if (nowMs < permit.plannableUntilMs()) {
            workers.add(worker);
          }
        });
    return workers;
  }

  /** Returns whether a start sent now reaches the worker before its permit expires. */
  boolean isValid(String worker, long nowMs) {
    Permit permit = permits.get(worker);
    return permit != null && nowMs < permit.validUntilMs() - LAUNCH_RESERVE_MS;
  }

  /** Returns the permit text that a start command to a worker has to carry. */
  Optional<String> permitText(String worker) {
    return Optional.ofNullable(permits.get(worker)).map(Permit::text);
  }

  /** Updates the workers on which the scheduler may plan; returns whether they have changed. */
  boolean refreshPlannable(long nowMs) {
    Set<String> current = plannableWorkers(nowMs);
    boolean changed = !current.equals(lastPlannable);
    lastPlannable = current;
    return changed;
  }
}
