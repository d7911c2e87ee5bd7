package org.wheatwall.entry.batch.worker;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Orders to workers. Futures complete normally with what is known of the order; only {@link #renew}
 * can fail, with {@link WorkerFailure}.
 */
public interface WorkerPort {
  /** Orders a start. */
  CompletableFuture<CommandOutcome> start(WorkerInfo worker, StartCommand order, Lease lease);

  /** Orders a stop. */
  CompletableFuture<CommandOutcome> stop(WorkerInfo worker, StopCommand order, long term);

  /** Asks for a worker's tasks, extending their leases if the call says so. */
  CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call);

  /**
   * Until when a worker may run what it holds.
   *
   * @param term number of the decider's term
   * @param untilMs time on the worker's own clock, milliseconds
   */
  record Lease(long term, long untilMs) {}

  /**
   * A call for a worker's tasks.
   *
   * @param term number of the decider's term
   * @param untilMs time on the worker's own clock until which leases are extended; not extended if
   *     empty
   * @param acknowledged highest number of an end that the worker may forget
   * @param waitMs how long the worker waits for an end before it answers, milliseconds
   */
  record RenewCall(long term, OptionalLong untilMs, long acknowledged, int waitMs) {}
}
