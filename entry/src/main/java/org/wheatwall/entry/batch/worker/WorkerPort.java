package org.wheatwall.entry.batch.worker;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Commands to workers. Futures complete normally with what is known about the command; only {@link
 * #renew} can fail, with {@link WorkerFailure}.
 */
public interface WorkerPort {
  /** Sends a command to start a task. */
  CompletableFuture<CommandOutcome> start(WorkerInfo worker, StartCommand command, Lease lease);

  /** Sends a command to stop a task. */
  CompletableFuture<CommandOutcome> stop(WorkerInfo worker, StopCommand command, long term);

  /** Requests a worker's tasks, and extends their leases if the call says so. */
  CompletableFuture<WorkerInventory> renew(WorkerInfo worker, RenewCall call);

  /**
   * Tries to open a connection to a worker, without a command. Completes with whether that
   * succeeded within some tenths of a second, and never fails.
   *
   * @param address IP address and port of the worker
   */
  CompletableFuture<Boolean> isReachable(String address);

  /**
   * Until when a worker may run its tasks.
   *
   * @param term number of the decider's term
   * @param untilMs time on the worker's own clock, milliseconds
   */
  record Lease(long term, long untilMs) {}

  /**
   * A request for a worker's tasks.
   *
   * @param term number of the decider's term
   * @param untilMs time on the worker's own clock until which leases are extended, milliseconds;
   *     not extended if empty
   * @param acknowledged highest number of an end that the worker may discard
   * @param waitMs how long the worker waits for an end before it responds, milliseconds
   */
  record RenewCall(long term, OptionalLong untilMs, long acknowledged, int waitMs) {}
}
