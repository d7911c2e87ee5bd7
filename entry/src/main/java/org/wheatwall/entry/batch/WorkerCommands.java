package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.worker.WorkerPoller;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Sends the commands of one term to workers and passes their responses to the run supervisor. A
 * command is sent only while the term may act; this is checked when the command is sent, not when
 * it was decided on.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class WorkerCommands {
  private final BatchContext context;
  private final WorkerPort port;
  private final WorkerPoller poller;
  private final RunSupervisor supervisor;
  private final Term term;

  /** The term under which commands are sent. */
  interface Term {
    /** Returns the term's number, which workers compare with the highest one they have seen. */
    long number();

    /** Returns whether commands may be sent now. */
    boolean mayAct();

    /** Returns whether the term is over, so that responses are ignored. */
    boolean ended();

    /** Called when a worker has seen a higher term. */
    void onFenced(String worker);

    /** Called when a response may have changed what can start. */
    void onResponse();
  }

  WorkerCommands(
      BatchContext context,
      WorkerPort port,
      WorkerPoller poller,
      RunSupervisor supervisor,
      Term term) {
    this.context = context;
    this.port = port;
    this.poller = poller;
    this.supervisor = supervisor;
    this.term = term;
  }

  /**
   * Commands a worker to start a task. Not sent if the term may not act, the worker is not listed
   * or its clock is not known, or the operator allows no start there; the supervisor then gets
   * {@link CommandOutcome#NOT_DONE}.
   */
  void start(StartCommand command) {
    boolean mayAct = term.mayAct() && supervisor.isStartAllowedOn(command.worker());
    Optional<WorkerInfo> worker = supervisor.workerInfo(command.worker());
    Optional<WorkerPort.Lease> lease = poller.lease(command.worker());
    if (worker.isEmpty() || lease.isEmpty() || !mayAct) {
      context.loop().execute(() -> onStartResponse(command, CommandOutcome.NOT_DONE));
      return;
    }
    supervisor.onLeaseSent(command.worker(), context.clock().nowMs());
    LoopCallbacks.whenDone(
        port.start(worker.get(), command, lease.get()),
        context.loop(),
        (outcome, failure) ->
            onStartResponse(command, failure == null ? outcome : CommandOutcome.UNKNOWN));
  }

  private void onStartResponse(StartCommand command, CommandOutcome outcome) {
    if (term.ended()) {
      return;
    }
    if (outcome != CommandOutcome.DONE) {
      logFailedStart(command, outcome);
    }
    if (outcome == CommandOutcome.FENCED) {
      term.onFenced(command.worker());
      return;
    }
    supervisor.onStartOutcome(command, outcome, context.clock().nowMs(), context.clock().wallMs());
    poller.pollSoon(command.worker());
    term.onResponse();
  }

  private void logFailedStart(StartCommand command, CommandOutcome outcome) {
    context
        .decisions()
        .log(
            "start-not-done",
            field("job", command.task().jobId()),
            field("worker", command.worker()),
            field("run", command.run()),
            field("answer", outcome));
  }

  /**
   * Commands a worker to stop a task. Not sent if the worker is not listed or the term may not act.
   */
  void stop(StopCommand command) {
    Optional<WorkerInfo> worker = supervisor.workerInfo(command.worker());
    if (worker.isEmpty() || !term.mayAct()) {
      return;
    }
    LoopCallbacks.whenDone(
        port.stop(worker.get(), command, term.number()),
        context.loop(),
        (outcome, failure) ->
            onStopResponse(command, failure == null ? outcome : CommandOutcome.UNKNOWN));
  }

  private void onStopResponse(StopCommand command, CommandOutcome outcome) {
    if (term.ended()) {
      return;
    }
    if (outcome == CommandOutcome.FENCED) {
      term.onFenced(command.worker());
      return;
    }
    supervisor.onStopOutcome(command, outcome, context.clock().nowMs(), context.clock().wallMs());
    term.onResponse();
  }
}
