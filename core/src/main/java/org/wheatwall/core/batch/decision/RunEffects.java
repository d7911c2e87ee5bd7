package org.wheatwall.core.batch.decision;

import java.util.List;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;

/** What the supervisor of runs has done for it by the process around it. */
public interface RunEffects {
  /**
   * Appends records to the job log, in the order of the calls. {@code whenKept} runs on the
   * decision loop once they are acknowledged; if the term is lost it never does.
   */
  void keep(List<LogEntry> entries, Runnable whenKept);

  /**
   * Sends a start; the answer comes to {@link RunSupervisor#onStartAnswer}, never during this call.
   * An exception means that nothing was sent.
   */
  void start(StartCommand order);

  /** Sends a stop; the answer comes to {@link RunSupervisor#onStopAnswer}. */
  void stop(StopCommand order);

  /** Asks a worker for a report soon; it comes to {@link RunSupervisor#onReport}. */
  void look(String worker);

  /**
   * Asks which workers may run a step; the answer comes to {@link RunSupervisor#onPermits}, at some
   * time also if the service that gives it is away.
   */
  void askPermits(PermitRequest question);

  /** Tells operators what was decided. */
  void decided(RunEvent event);
}
