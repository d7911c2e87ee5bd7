package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerIncarnation;

/**
 * Start commands that got no response. Such a command may be executed seconds later, possibly by a
 * later incarnation of the worker, which has not received the stop. Therefore a stop is sent to the
 * later incarnation as soon as it is known, and resent until it is acknowledged.
 */
final class UnansweredStarts {
  /** Maximum time between sending and execution of a start command, milliseconds. */
  static final int MAX_EXECUTION_DELAY_MS = 30_000;

  private record UnansweredStart(StartCommand command, long recordedAtMs) {}

  private final TermState term;
  private final Map<String, List<UnansweredStart>> byWorker = new HashMap<>();

  UnansweredStarts(TermState term) {
    this.term = term;
  }

  /** Records that a start got no response. */
  void recordUnanswered(StartCommand command) {
    String id = WorkerIncarnation.parse(command.worker()).id();
    List<UnansweredStart> starts = byWorker.computeIfAbsent(id, key -> new ArrayList<>());
    starts.removeIf(this::isExpired);
    starts.add(new UnansweredStart(command, term.nowMs));
    if (term.workers.incarnations().isSuperseded(command.worker())) {
      term.workers
          .incarnations()
          .latest(id)
          .ifPresent(laterIncarnation -> stop(command, laterIncarnation.name()));
    }
  }

  /** Sends a worker incarnation stops for the unanswered starts of earlier incarnations. */
  void stopAtIncarnation(String laterIncarnation) {
    List<UnansweredStart> starts =
        byWorker.getOrDefault(WorkerIncarnation.parse(laterIncarnation).id(), List.of());
    starts.stream()
        .filter(start -> !isExpired(start) && !start.command().worker().equals(laterIncarnation))
        .forEach(start -> stop(start.command(), laterIncarnation));
  }

  private void stop(StartCommand command, String laterIncarnation) {
    term.pendingStops.send(new StopCommand(laterIncarnation, command.task(), command.run()));
  }

  /** Removes starts that can no longer be executed. */
  void tick() {
    byWorker.values().forEach(starts -> starts.removeIf(this::isExpired));
    byWorker.values().removeIf(List::isEmpty);
  }

  private boolean isExpired(UnansweredStart start) {
    return term.nowMs - start.recordedAtMs() > MAX_EXECUTION_DELAY_MS;
  }
}
