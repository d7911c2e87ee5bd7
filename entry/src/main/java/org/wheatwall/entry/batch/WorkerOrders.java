package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.batch.worker.WorkerWatch;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Sends the orders of one term to workers and takes their answers to the supervisor of runs. An
 * order goes out only while the term may act, which is looked at when it is sent, not when it was
 * decided on.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class WorkerOrders {
  private final BatchTools tools;
  private final WorkerPort port;
  private final WorkerWatch watch;
  private final RunSupervisor supervisor;
  private final Term term;

  /** The term under which orders are given. */
  interface Term {
    /** Returns its number, which workers compare. */
    long number();

    /** Returns whether orders may be given now. */
    boolean mayAct();

    /** Returns whether it is over, so that answers count no more. */
    boolean ended();

    /** Notes that a worker has seen a higher term. */
    void fenced(String worker);

    /** Notes that an answer may have changed what can start. */
    void answered();
  }

  WorkerOrders(
      BatchTools tools, WorkerPort port, WorkerWatch watch, RunSupervisor supervisor, Term term) {
    this.tools = tools;
    this.port = port;
    this.watch = watch;
    this.supervisor = supervisor;
    this.term = term;
  }

  /**
   * Tells a worker to start a task; without a term or a known clock of the worker it is not done.
   */
  void start(StartCommand order) {
    boolean mayAct = term.mayAct();
    Optional<WorkerInfo> worker = supervisor.workerInfo(order.worker());
    Optional<WorkerPort.Lease> lease = watch.lease(order.worker());
    if (worker.isEmpty() || lease.isEmpty() || !mayAct) {
      tools.loop().execute(() -> startAnswered(order, CommandOutcome.NOT_DONE));
      return;
    }
    supervisor.leased(order.worker(), tools.clock().nowMs());
    LoopCallbacks.whenDone(
        port.start(worker.get(), order, lease.get()),
        tools.loop(),
        (answer, failure) ->
            startAnswered(order, failure == null ? answer : CommandOutcome.UNKNOWN));
  }

  private void startAnswered(StartCommand order, CommandOutcome answer) {
    if (term.ended()) {
      return;
    }
    if (answer != CommandOutcome.DONE) {
      note(order, answer);
    }
    if (answer == CommandOutcome.FENCED) {
      term.fenced(order.worker());
      return;
    }
    supervisor.onStartAnswer(order, answer, tools.clock().nowMs(), tools.clock().wallMs());
    watch.look(order.worker());
    term.answered();
  }

  private void note(StartCommand order, CommandOutcome answer) {
    tools
        .decisions()
        .note(
            "start-not-done",
            field("job", order.task().jobId()),
            field("worker", order.worker()),
            field("run", order.run()),
            field("answer", answer));
  }

  /** Tells a worker to stop a task; one that is not known or out of term is not told. */
  void stop(StopCommand order) {
    Optional<WorkerInfo> worker = supervisor.workerInfo(order.worker());
    if (worker.isEmpty() || !term.mayAct()) {
      return;
    }
    LoopCallbacks.whenDone(
        port.stop(worker.get(), order, term.number()),
        tools.loop(),
        (answer, failure) ->
            stopAnswered(order, failure == null ? answer : CommandOutcome.UNKNOWN));
  }

  private void stopAnswered(StopCommand order, CommandOutcome answer) {
    if (term.ended()) {
      return;
    }
    if (answer == CommandOutcome.FENCED) {
      term.fenced(order.worker());
      return;
    }
    supervisor.onStopAnswer(order, answer, tools.clock().nowMs(), tools.clock().wallMs());
    term.answered();
  }
}
