package org.wheatwall.entry.platform;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.wire.platform.WorkerExchange;

/** Sends exchanges to workers. */
public interface WorkerService {
  /**
   * Sends an exchange to the worker at {@code address}; the future fails if there is no response
   * within {@code timeoutMs}.
   */
  CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange, long timeoutMs);
}
