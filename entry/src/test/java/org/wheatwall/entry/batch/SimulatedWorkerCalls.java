package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.entry.batch.worker.WorkerFailure;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.standin.task.TaskWorkerModel;

/** Calls of one host to simulated workers, which may be lost, delayed, or fail with the process. */
final class SimulatedWorkerCalls implements WorkerPort {
  private static final int TICK_MS = 10;
  private static final int COMMAND_TIMEOUT_MS = 400;
  private static final int CONNECT_TIMEOUT_MS = 250;
  private static final int REPORT_TIMEOUT_MARGIN_MS = 600;

  private final SimulatedWorkers workers;
  private final VirtualTime time;
  private final SimulatedHost host;
  private final LongSupplier confirmedAtMs;

  /**
   * Creates the calls of a host.
   *
   * @param confirmedAtMs returns when the host's term was last confirmed
   */
  SimulatedWorkerCalls(
      SimulatedWorkers workers, VirtualTime time, SimulatedHost host, LongSupplier confirmedAtMs) {
    this.workers = workers;
    this.time = time;
    this.host = host;
    this.confirmedAtMs = confirmedAtMs;
  }

  @Override
  public CompletableFuture<CommandOutcome> start(
      WorkerInfo worker, StartCommand command, Lease lease) {
    checkTermConfirmed("a start");
    return sendCommand(worker, (model, isLate) -> start(worker, model, command, lease, isLate));
  }

  /** A command that a worker executes, possibly long after it was sent. */
  private interface Command {
    CommandOutcome execute(TaskWorkerModel model, boolean isLate);
  }

  private CommandOutcome start(
      WorkerInfo worker, TaskWorkerModel model, StartCommand command, Lease lease, boolean isLate) {
    if (workers.isRefusing()) {
      return CommandOutcome.NOT_DONE;
    }
    int eventsBefore = workers.ledger().events().size();
    CommandOutcome outcome = model.start(command, lease.term(), lease.untilMs(), time.nowMs());
    if (!isLate && workers.ledger().events().size() > eventsBefore) {
      workers.checkStart(workers.indexOf(worker), host);
    }
    return outcome;
  }

  @Override
  public CompletableFuture<CommandOutcome> stop(WorkerInfo worker, StopCommand command, long term) {
    return sendCommand(worker, (model, isLate) -> model.stop(command, term, time.nowMs()));
  }

  @Override
  public CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call) {
    if (call.untilMs().isPresent()) {
      checkTermConfirmed("an extension");
    }
    return requestReport(worker, call);
  }

  @Override
  public CompletableFuture<Boolean> isReachable(String address) {
    CompletableFuture<Boolean> response = new CompletableFuture<>();
    int index = workers.indexOf(address);
    boolean isReachable = !workers.isPartitioned(index, host) && !workers.isDown(index);
    time.after(isReachable ? 2 : CONNECT_TIMEOUT_MS, () -> response.complete(isReachable));
    return response;
  }

  // Other hosts claim the term after this silence, whether or not this host knows of it.
  private void checkTermConfirmed(String action) {
    long ageMs = time.nowMs() - confirmedAtMs.getAsLong();
    if (ageMs > TermSettings.DEFAULT.silenceMs()) {
      workers
          .ledger()
          .recordViolation(
              time.nowMs(), action + " of " + host.name() + ", unconfirmed for " + ageMs + " ms");
    }
  }

  private CompletableFuture<CommandOutcome> sendCommand(WorkerInfo worker, Command action) {
    CompletableFuture<CommandOutcome> response = new CompletableFuture<>();
    int index = workers.indexOf(worker);
    TaskWorkerModel receiver = workers.process(index);
    boolean isLost = workers.drawLoss();
    if (workers.isPartitioned(index, host)) {
      time.after(COMMAND_TIMEOUT_MS, () -> response.complete(CommandOutcome.UNKNOWN));
      return response;
    }
    if (workers.isDown(index)) {
      time.after(1, () -> response.complete(CommandOutcome.NOT_REACHED));
      return response;
    }
    long delayMs = isLost ? 2000 + time.random().nextInt(10_000) : 1 + time.random().nextInt(4);
    time.after(
        delayMs,
        () -> {
          if (workers.isDown(index)) {
            time.after(1, () -> response.complete(CommandOutcome.UNKNOWN));
            return;
          }
          TaskWorkerModel model = workers.process(index);
          if (isLost && model != receiver && !workers.lateCommandsReachLaterIncarnations()) {
            return;
          }
          model.setCommandsDelayed(isLost);
          CommandOutcome result =
              model.id().equals(worker.incarnation().id())
                  ? action.execute(model, isLost)
                  : CommandOutcome.WORKER_GONE;
          boolean crashesAtOnce = model.isCrashDue() && time.random().nextBoolean();
          if (crashesAtOnce) {
            workers.crash(index);
            time.after(1, () -> response.complete(CommandOutcome.UNKNOWN));
          } else if (!isLost) {
            time.after(1 + time.random().nextInt(4), () -> response.complete(result));
          }
        });
    if (isLost) {
      time.after(COMMAND_TIMEOUT_MS, () -> response.complete(CommandOutcome.UNKNOWN));
    }
    return response;
  }

  private CompletableFuture<WorkerInventory> requestReport(WorkerInfo worker, RenewCall call) {
    CompletableFuture<WorkerInventory> response = new CompletableFuture<>();
    int index = workers.indexOf(worker);
    long deadlineMs = time.nowMs() + call.waitMs();
    if (workers.isPartitioned(index, host)) {
      time.after(call.waitMs() + REPORT_TIMEOUT_MARGIN_MS, () -> failUnanswered(response));
      return response;
    }
    time.after(
        1 + time.random().nextInt(4),
        () -> pollReport(worker, index, call, deadlineMs, response, workers.process(index), true));
    return response;
  }

  private void pollReport(
      WorkerInfo worker,
      int index,
      RenewCall call,
      long deadlineMs,
      CompletableFuture<WorkerInventory> response,
      TaskWorkerModel receiver,
      boolean isFirst) {
    TaskWorkerModel model = workers.process(index);
    if (workers.isDown(index)) {
      time.after(1, () -> failUnanswered(response));
      return;
    }
    if (workers.isPartitioned(index, host)) {
      time.after(REPORT_TIMEOUT_MARGIN_MS, () -> failUnanswered(response));
      return;
    }
    if (!model.id().equals(worker.incarnation().id())) {
      fail(response, WorkerFailure.Kind.GONE);
      return;
    }
    if (model != receiver) {
      time.after(1, () -> failUnanswered(response));
      return;
    }
    Optional<WorkerInventory> report =
        model.renew(
            call.term(),
            isFirst ? call.untilMs() : OptionalLong.empty(),
            call.acknowledged(),
            time.nowMs());
    if (report.isEmpty()) {
      fail(response, WorkerFailure.Kind.FENCED);
    } else if (!report.get().ended().isEmpty() || time.nowMs() >= deadlineMs) {
      time.after(1 + time.random().nextInt(4), () -> response.complete(report.get()));
    } else {
      time.after(
          TICK_MS, () -> pollReport(worker, index, call, deadlineMs, response, receiver, false));
    }
  }

  private static void failUnanswered(CompletableFuture<WorkerInventory> response) {
    response.completeExceptionally(
        new WorkerFailure(WorkerFailure.Kind.SILENT, "the worker does not respond"));
  }

  private void fail(CompletableFuture<WorkerInventory> response, WorkerFailure.Kind kind) {
    time.after(1, () -> response.completeExceptionally(new WorkerFailure(kind, "refused")));
  }
}
