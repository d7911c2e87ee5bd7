package org.wheatwall.entry.batch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wheatwall.core.batch.decision.TermSettings;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.entry.batch.worker.WorkerFailure;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.standin.task.TaskWorkerModel;

/** Calls of one host to simulated workers: answered, lost, late, or ended with the process. */
final class SimulatedWorkerCalls implements WorkerPort {
  private static final int TICK_MS = 10;
  private static final int ORDER_TIMEOUT_MS = 400;
  private static final int REPORT_SLACK_MS = 600;

  private final SimulatedWorkers workers;
  private final VirtualTime time;
  private final SimulatedHost host;
  private final LongSupplier confirmedAtMs;

  /**
   * Creates the calls of a host.
   *
   * @param confirmedAtMs when the host's term was last confirmed
   */
  SimulatedWorkerCalls(
      SimulatedWorkers workers, VirtualTime time, SimulatedHost host, LongSupplier confirmedAtMs) {
    this.workers = workers;
    this.time = time;
    this.host = host;
    this.confirmedAtMs = confirmedAtMs;
  }

  @Override
  public CompletableFuture<OrderAnswer> start(WorkerInfo worker, StartOrder order, Lease lease) {
    checkTerm("a start");
    return order(worker, model -> model.start(order, lease.term(), lease.untilMs(), time.nowMs()));
  }

  @Override
  public CompletableFuture<OrderAnswer> stop(WorkerInfo worker, StopOrder order, long term) {
    return order(worker, model -> model.stop(order, term, time.nowMs()));
  }

  @Override
  public CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call) {
    if (call.untilMs().isPresent()) {
      checkTerm("an extension");
    }
    return report(worker, call);
  }

  // Others claim the term once they have waited that long, whatever this host believes.
  private void checkTerm(String order) {
    long ageMs = time.nowMs() - confirmedAtMs.getAsLong();
    if (ageMs > TermSettings.DEFAULT.silenceMs()) {
      workers
          .ledger()
          .recordViolation(
              time.nowMs(), order + " of " + host.name() + ", unconfirmed for " + ageMs + " ms");
    }
  }

  private CompletableFuture<OrderAnswer> order(
      WorkerInfo worker, Function<TaskWorkerModel, OrderAnswer> work) {
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    int index = workers.indexOf(worker);
    TaskWorkerModel receiver = workers.process(index);
    boolean lost = workers.drawLost();
    if (workers.isCut(index, host)) {
      time.after(ORDER_TIMEOUT_MS, () -> answer.complete(OrderAnswer.UNKNOWN));
      return answer;
    }
    if (workers.isDown(index)) {
      time.after(1, () -> answer.complete(OrderAnswer.NOT_REACHED));
      return answer;
    }
    long delay = lost ? 2000 + time.random().nextInt(10_000) : 1 + time.random().nextInt(4);
    time.after(
        delay,
        () -> {
          if (workers.isDown(index)) {
            time.after(1, () -> answer.complete(OrderAnswer.UNKNOWN));
            return;
          }
          TaskWorkerModel model = workers.process(index);
          if (lost && model != receiver && !workers.lateOrdersMeetLaterLives()) {
            return;
          }
          model.setCommandsDelayed(lost);
          OrderAnswer result =
              model.id().equals(worker.life().id()) ? work.apply(model) : OrderAnswer.WORKER_GONE;
          boolean crashesAtOnce = model.isCrashDue() && time.random().nextBoolean();
          if (crashesAtOnce) {
            workers.crash(index);
            time.after(1, () -> answer.complete(OrderAnswer.UNKNOWN));
          } else if (!lost) {
            time.after(1 + time.random().nextInt(4), () -> answer.complete(result));
          }
        });
    if (lost) {
      time.after(ORDER_TIMEOUT_MS, () -> answer.complete(OrderAnswer.UNKNOWN));
    }
    return answer;
  }

  private CompletableFuture<WorkerInventory> report(WorkerInfo worker, RenewCall call) {
    CompletableFuture<WorkerInventory> answer = new CompletableFuture<>();
    int index = workers.indexOf(worker);
    long deadline = time.nowMs() + call.waitMs();
    if (workers.isCut(index, host)) {
      time.after(call.waitMs() + REPORT_SLACK_MS, () -> silent(answer));
      return answer;
    }
    time.after(
        1 + time.random().nextInt(4),
        () -> reportOf(worker, index, call, deadline, answer, workers.process(index), true));
    return answer;
  }

  private void reportOf(
      WorkerInfo worker,
      int index,
      RenewCall call,
      long deadline,
      CompletableFuture<WorkerInventory> answer,
      TaskWorkerModel receiver,
      boolean first) {
    TaskWorkerModel model = workers.process(index);
    if (workers.isDown(index)) {
      time.after(1, () -> silent(answer));
      return;
    }
    if (workers.isCut(index, host)) {
      time.after(REPORT_SLACK_MS, () -> silent(answer));
      return;
    }
    if (!model.id().equals(worker.life().id())) {
      fail(answer, WorkerFailure.Kind.GONE);
      return;
    }
    if (model != receiver) {
      time.after(1, () -> silent(answer));
      return;
    }
    Optional<WorkerInventory> report =
        model.renew(
            call.term(),
            first ? call.untilMs() : OptionalLong.empty(),
            call.acknowledged(),
            time.nowMs());
    if (report.isEmpty()) {
      fail(answer, WorkerFailure.Kind.FENCED);
    } else if (!report.get().ended().isEmpty() || time.nowMs() >= deadline) {
      time.after(1 + time.random().nextInt(4), () -> answer.complete(report.get()));
    } else {
      time.after(TICK_MS, () -> reportOf(worker, index, call, deadline, answer, receiver, false));
    }
  }

  private static void silent(CompletableFuture<WorkerInventory> answer) {
    answer.completeExceptionally(
        new WorkerFailure(WorkerFailure.Kind.SILENT, "the worker is cut off"));
  }

  private void fail(CompletableFuture<WorkerInventory> answer, WorkerFailure.Kind kind) {
    time.after(1, () -> answer.completeExceptionally(new WorkerFailure(kind, "refused")));
  }
}
