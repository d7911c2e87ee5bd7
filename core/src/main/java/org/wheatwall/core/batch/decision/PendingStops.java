package org.wheatwall.core.batch.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.StopCommand;

/**
 * Stops of runs that this decider does not track, resent until the worker acknowledges them: from
 * then on it rejects the run. A stop is abandoned once the start of its run can no longer be
 * executed, or a later incarnation of the worker is known.
 */
final class PendingStops {
  private record PendingStop(long sentAtMs, long untilMs) {}

  private final TermState term;
  private final Map<StopCommand, PendingStop> unacknowledged = new LinkedHashMap<>();

  PendingStops(TermState term) {
    this.term = term;
  }

  /** Sends a stop, and resends it until it is acknowledged. */
  void send(StopCommand stop) {
    send(stop, term.nowMs + UnansweredStarts.MAX_EXECUTION_DELAY_MS);
  }

  private void send(StopCommand stop, long untilMs) {
    unacknowledged.put(stop, new PendingStop(term.nowMs, untilMs));
    term.effects.sendStop(stop);
  }

  /** Records that a stop was acknowledged. */
  void onAcknowledged(StopCommand stop) {
    unacknowledged.remove(stop);
  }

  /** Resends stops that are due, and abandons those that have become obsolete. */
  void tick() {
    unacknowledged.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue()));
    for (Map.Entry<StopCommand, PendingStop> entry : List.copyOf(unacknowledged.entrySet())) {
      if (term.nowMs - entry.getValue().sentAtMs() >= term.settings.stopRepeatMs()) {
        send(entry.getKey(), entry.getValue().untilMs());
      }
    }
  }

  private boolean isObsolete(StopCommand stop, PendingStop pendingStop) {
    return term.nowMs >= pendingStop.untilMs()
        || term.workers.incarnations().isSuperseded(stop.worker());
  }
}
