package org.wheatwall.core.batch.decision;

import java.util.List;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;

/** The effects that {@link RunSupervisor} triggers in the process around it. */
public interface RunEffects {
  /**
   * Appends records to the job log, in the order of the calls.
   *
   * @param onAcknowledged runs on the decision loop once the log has acknowledged the records;
   *     never runs if the term is lost
   */
  void appendToLog(List<LogEntry> entries, Runnable onAcknowledged);

  /**
   * Sends a start command. The outcome is passed to {@link RunSupervisor#onStartOutcome}, never
   * during this call. If this method throws an exception, nothing was sent.
   */
  void sendStart(StartCommand command);

  /** Sends a stop command. The outcome is passed to {@link RunSupervisor#onStopOutcome}. */
  void sendStop(StopCommand command);

  /** Requests a prompt report from a worker. It is passed to {@link RunSupervisor#onReport}. */
  void requestReport(String worker);

  /**
   * Requests permits for the workers that may run a step. The response is passed to {@link
   * RunSupervisor#onPermits}, which is eventually called even if the permit service is unavailable.
   */
  void requestPermits(PermitRequest request);

  /**
   * Called between the steps of work that may take longer than a term lasts without a renewal, so
   * that the term can be renewed. Must not call the supervisor.
   */
  default void onLongWork() {}

  /** Logs a decision for operators. */
  void logDecision(RunEvent event);
}
