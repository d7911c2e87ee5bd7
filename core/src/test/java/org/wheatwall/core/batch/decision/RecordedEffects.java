package org.wheatwall.core.batch.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;

/** Records the effects triggered by a supervisor; the test acknowledges log records explicitly. */
final class RecordedEffects implements RunEffects {
  final List<LogEntry> logged = new ArrayList<>();
  final List<StartCommand> starts = new ArrayList<>();
  final List<StopCommand> stops = new ArrayList<>();
  final List<PermitRequest> permitRequests = new ArrayList<>();
  final List<RunEvent> events = new ArrayList<>();
  final List<String> requestedReports = new ArrayList<>();
  int longWorkSteps;
  private final Deque<Runnable> pendingAcknowledgements = new ArrayDeque<>();
  private boolean nextStopFails;
  private boolean nextStartFails;

  @Override
  public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
    logged.addAll(entries);
    pendingAcknowledgements.add(onAcknowledged);
  }

  @Override
  public void sendStart(StartCommand command) {
    if (nextStartFails) {
      nextStartFails = false;
      throw new IllegalStateException("the command cannot be sent");
    }
    starts.add(command);
  }

  @Override
  public void sendStop(StopCommand command) {
    if (nextStopFails) {
      nextStopFails = false;
      throw new IllegalStateException("the command cannot be sent");
    }
    stops.add(command);
  }

  @Override
  public void onLongWork() {
    longWorkSteps++;
  }

  @Override
  public void requestReport(String worker) {
    requestedReports.add(worker);
  }

  @Override
  public void requestPermits(PermitRequest request) {
    permitRequests.add(request);
  }

  @Override
  public void logDecision(RunEvent event) {
    events.add(event);
  }

  /** Acknowledges the records of the oldest unacknowledged append. */
  void acknowledgeNext() {
    pendingAcknowledgements.poll().run();
  }

  boolean hasPendingAcknowledgement() {
    return !pendingAcknowledgements.isEmpty();
  }

  void acknowledgeAll() {
    while (!pendingAcknowledgements.isEmpty()) {
      pendingAcknowledgements.poll().run();
    }
  }

  /**
   * Drops the acknowledgement of the oldest unacknowledged append, so that its callback never runs.
   */
  void dropNextAcknowledgement() {
    pendingAcknowledgements.poll();
  }

  /** Makes sending the next stop fail with an exception. */
  void failNextStop() {
    nextStopFails = true;
  }

  /** Makes sending the next start fail with an exception. */
  void failNextStart() {
    nextStartFails = true;
  }
}
