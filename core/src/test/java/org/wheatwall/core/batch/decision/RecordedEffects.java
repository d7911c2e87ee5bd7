package org.wheatwall.core.batch.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;

/** Notes what a supervisor asks for; records are kept when the test says so. */
final class RecordedEffects implements RunEffects {
  final List<LogEntry> logged = new ArrayList<>();
  final List<StartOrder> starts = new ArrayList<>();
  final List<StopOrder> stops = new ArrayList<>();
  final List<PermitQuestion> permitRequests = new ArrayList<>();
  final List<RunEvent> events = new ArrayList<>();
  private final Deque<Runnable> pendingAcknowledgements = new ArrayDeque<>();
  private boolean nextStopFails;
  private boolean nextStartFails;

  @Override
  public void appendToLog(List<LogEntry> entries, Runnable whenKept) {
    logged.addAll(entries);
    pendingAcknowledgements.add(whenKept);
  }

  @Override
  public void sendStart(StartOrder order) {
    if (nextStartFails) {
      nextStartFails = false;
      throw new IllegalStateException("the order cannot be sent");
    }
    starts.add(order);
  }

  @Override
  public void sendStop(StopOrder order) {
    if (nextStopFails) {
      nextStopFails = false;
      throw new IllegalStateException("the order cannot be sent");
    }
    stops.add(order);
  }

  @Override
  public void requestReport(String worker) {}

  @Override
  public void requestPermits(PermitQuestion question) {
    permitRequests.add(question);
  }

  @Override
  public void logDecision(RunEvent event) {
    events.add(event);
  }

  /** Has the records of the earliest call kept that wait for it. */
  void acknowledgeNext() {
    pendingAcknowledgements.poll().run();
  }

  void acknowledgeAll() {
    while (!pendingAcknowledgements.isEmpty()) {
      pendingAcknowledgements.poll().run();
    }
  }

  /** Has the records of the earliest call kept that wait for it, and tells nobody. */
  void dropNextAcknowledgement() {
    pendingAcknowledgements.poll();
  }

  /** Lets the next stop fail by a fault of the program. */
  void failNextStop() {
    nextStopFails = true;
  }

  /** Lets the next start fail by a fault of the program. */
  void failNextStart() {
    nextStartFails = true;
  }
}
