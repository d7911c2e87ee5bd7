package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerIncarnation;

/**
 * Starts that nobody answered. Such an order may be carried out seconds later, also by a later life
 * of its worker, which knows of no stop; so it is stopped there as soon as that life is known, and
 * the stop is repeated until it is acknowledged.
 */
final class UnansweredStarts {
  /** How long after it was sent an order may still be carried out, milliseconds. */
  static final int LATEST_MS = 30_000;

  private record Unanswered(StartCommand order, long sinceMs) {}

  private record Repeat(long sentAtMs, long untilMs) {}

  private final TermState term;
  private final Map<String, List<Unanswered>> byWorker = new HashMap<>();
  // Stops that are not acknowledged.
  private final Map<StopCommand, Repeat> repeats = new LinkedHashMap<>();

  UnansweredStarts(TermState term) {
    this.term = term;
  }

  /** Takes in that a start was not answered. */
  void add(StartCommand order) {
    String id = WorkerIncarnation.parse(order.worker()).id();
    List<Unanswered> known = byWorker.computeIfAbsent(id, key -> new ArrayList<>());
    known.removeIf(this::isPast);
    known.add(new Unanswered(order, term.nowMs));
    if (term.workers.incarnations().isSuperseded(order.worker())) {
      term.workers.incarnations().latest(id).ifPresent(later -> stop(order, later.name()));
    }
  }

  /** Stops at a life of a worker what was sent to the lives before it. */
  void stopAt(String later) {
    List<Unanswered> known = byWorker.getOrDefault(WorkerIncarnation.parse(later).id(), List.of());
    known.stream()
        .filter(unanswered -> !isPast(unanswered) && !unanswered.order().worker().equals(later))
        .forEach(unanswered -> stop(unanswered.order(), later));
  }

  private void stop(StartCommand order, String later) {
    send(new StopCommand(later, order.task(), order.run()), term.nowMs + LATEST_MS);
  }

  private void send(StopCommand stop, long untilMs) {
    repeats.put(stop, new Repeat(term.nowMs, untilMs));
    term.effects.stop(stop);
  }

  /** Notes that a stop was acknowledged. */
  void acknowledged(StopCommand stop) {
    repeats.remove(stop);
  }

  /** Repeats stops, and forgets what can no longer be carried out. */
  void tick() {
    byWorker.values().forEach(known -> known.removeIf(this::isPast));
    byWorker.values().removeIf(List::isEmpty);
    repeats.entrySet().removeIf(entry -> isNeedless(entry.getKey(), entry.getValue()));
    for (Map.Entry<StopCommand, Repeat> entry : List.copyOf(repeats.entrySet())) {
      if (term.nowMs - entry.getValue().sentAtMs() >= term.settings.stopRepeatMs()) {
        send(entry.getKey(), entry.getValue().untilMs());
      }
    }
  }

  private boolean isNeedless(StopCommand stop, Repeat repeat) {
    return term.nowMs >= repeat.untilMs()
        || term.workers.incarnations().isSuperseded(stop.worker());
  }

  private boolean isPast(Unanswered unanswered) {
    return term.nowMs - unanswered.sinceMs() > LATEST_MS;
  }
}
