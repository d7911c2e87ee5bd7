package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.WorkerLife;

/**
 * Starts that nobody answered. Such an order may be carried out seconds later, also by a later life
 * of its worker, which knows of no stop; so it is stopped there as soon as that life is known, and
 * the stop is repeated until it is acknowledged.
 */
final class UnansweredStarts {
  /** How long after it was sent an order may still be carried out, milliseconds. */
  static final int MAX_EXECUTION_DELAY_MS = 30_000;

  private record Unanswered(StartOrder order, long sinceMs) {}

  private record PendingStop(long sentAtMs, long untilMs) {}

  private final TermState term;
  private final Map<String, List<Unanswered>> byWorker = new HashMap<>();
  // Stops that are not acknowledged.
  private final Map<StopOrder, PendingStop> pendingStops = new LinkedHashMap<>();

  UnansweredStarts(TermState term) {
    this.term = term;
  }

  /** Takes in that a start was not answered. */
  void recordUnanswered(StartOrder order) {
    String id = WorkerLife.parse(order.worker()).id();
    List<Unanswered> known = byWorker.computeIfAbsent(id, key -> new ArrayList<>());
    known.removeIf(this::isExpired);
    known.add(new Unanswered(order, term.nowMs));
    if (term.workers.lives().isOver(order.worker())) {
      term.workers.lives().latest(id).ifPresent(later -> stop(order, later.name()));
    }
  }

  /** Stops at a life of a worker what was sent to the lives before it. */
  void stopAtIncarnation(String later) {
    List<Unanswered> known = byWorker.getOrDefault(WorkerLife.parse(later).id(), List.of());
    known.stream()
        .filter(unanswered -> !isExpired(unanswered) && !unanswered.order().worker().equals(later))
        .forEach(unanswered -> stop(unanswered.order(), later));
  }

  private void stop(StartOrder order, String later) {
    sendStop(new StopOrder(later, order.task(), order.run()), term.nowMs + MAX_EXECUTION_DELAY_MS);
  }

  private void sendStop(StopOrder stop, long untilMs) {
    pendingStops.put(stop, new PendingStop(term.nowMs, untilMs));
    term.effects.sendStop(stop);
  }

  /** Notes that a stop was acknowledged. */
  void onStopAcknowledged(StopOrder stop) {
    pendingStops.remove(stop);
  }

  /** Repeats stops, and forgets what can no longer be carried out. */
  void tick() {
    byWorker.values().forEach(known -> known.removeIf(this::isExpired));
    byWorker.values().removeIf(List::isEmpty);
    pendingStops.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue()));
    for (Map.Entry<StopOrder, PendingStop> entry : List.copyOf(pendingStops.entrySet())) {
      if (term.nowMs - entry.getValue().sentAtMs() >= term.settings.stopRepeatMs()) {
        sendStop(entry.getKey(), entry.getValue().untilMs());
      }
    }
  }

  private boolean isObsolete(StopOrder stop, PendingStop repeat) {
    return term.nowMs >= repeat.untilMs() || term.workers.lives().isOver(stop.worker());
  }

  private boolean isExpired(Unanswered unanswered) {
    return term.nowMs - unanswered.sinceMs() > MAX_EXECUTION_DELAY_MS;
  }
}
