package org.wheatwall.core.batch.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;

/** Notes what a supervisor asks for; records are kept when the test says so. */
final class RecordedEffects implements RunEffects {
  final List<LogEntry> kept = new ArrayList<>();
  final List<StartCommand> starts = new ArrayList<>();
  final List<StopCommand> stops = new ArrayList<>();
  final List<PermitRequest> questions = new ArrayList<>();
  final List<RunEvent> events = new ArrayList<>();
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean nextStopFails;
  private boolean nextStartFails;

  @Override
  public void keep(List<LogEntry> entries, Runnable whenKept) {
    kept.addAll(entries);
    waiting.add(whenKept);
  }

  @Override
  public void start(StartCommand order) {
    if (nextStartFails) {
      nextStartFails = false;
      throw new IllegalStateException("the order cannot be sent");
    }
    starts.add(order);
  }

  @Override
  public void stop(StopCommand order) {
    if (nextStopFails) {
      nextStopFails = false;
      throw new IllegalStateException("the order cannot be sent");
    }
    stops.add(order);
  }

  @Override
  public void look(String worker) {}

  @Override
  public void askPermits(PermitRequest question) {
    questions.add(question);
  }

  @Override
  public void decided(RunEvent event) {
    events.add(event);
  }

  /** Has the records of the earliest call kept that wait for it. */
  void keepNext() {
    waiting.poll().run();
  }

  void keepAll() {
    while (!waiting.isEmpty()) {
      waiting.poll().run();
    }
  }

  /** Has the records of the earliest call kept that wait for it, and tells nobody. */
  void loseNext() {
    waiting.poll();
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
