package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;

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
  private final Set<String> answered = new HashSet<>();
  private final Set<GroupKey> groups = new LinkedHashSet<>();
  private Set<String> described = Set.of();
  private boolean asking;
  private long answeredAtMs;

  private record Permit(String text, long untilMs, long planUntilMs) {}

  /** Returns the groups that were given to the scheduler and may still wait. */
  Set<GroupKey> groups() {
    return groups;
  }

  boolean asking() {
    return asking;
  }

  void asked() {
    asking = true;
  }

  /** Notes that a question was not answered. */
  void unanswered(long nowMs) {
    asking = false;
    answeredAtMs = nowMs;
  }

  /**
   * Takes in an answer.
   *
   * @param askedMs when the question went out; texts may hold from then on
   */
  void answered(PermitQuestion question, PermitAnswer answer, long askedMs, long nowMs) {
    asking = false;
    answeredAtMs = nowMs;
    answered.addAll(question.workers());
    long untilMs = askedMs + answer.validMs();
    int reserveMs = Math.min(PLANNING_RESERVE_MS, answer.validMs() / RESERVE_SHARE);
    answer
        .textByWorker()
        .forEach(
            (worker, text) -> permits.put(worker, new Permit(text, untilMs, untilMs - reserveMs)));
  }

  /** Notes that a worker refused the text it was sent; it is to be asked for anew. */
  void refused(String worker) {
    permits.computeIfPresent(worker, (id, permit) -> new Permit(permit.text(), 0, 0));
  }

  /** Takes every text for lapsed. */
  void lapseAll() {
    permits.replaceAll((worker, permit) -> new Permit(permit.text(), 0, 0));
  }

  long answeredAtMs() {
    return answeredAtMs;
  }

  boolean wasAsked(String worker) {
    return answered.contains(worker);
  }

  int askedCount() {
    return answered.size();
  }

  /** Returns the workers that may run the step, whether or not their texts hold. */
  List<String> granted() {
    return List.copyOf(permits.keySet());
  }

  /** Returns the workers on which a start may be planned now. */
  Set<String> plannable(long nowMs) {
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
  boolean covers(String worker, long nowMs) {
    Permit permit = permits.get(worker);
    return permit != null && nowMs < permit.untilMs() - LAUNCH_RESERVE_MS;
  }

  /** Returns what a start at a worker has to carry. */
  Optional<String> text(String worker) {
    return Optional.ofNullable(permits.get(worker)).map(Permit::text);
  }

  /** Notes on which workers the scheduler may plan from now on; returns whether they are others. */
  boolean refresh(long nowMs) {
    Set<String> now = plannable(nowMs);
    boolean changed = !now.equals(described);
    described = now;
    return changed;
  }
}
