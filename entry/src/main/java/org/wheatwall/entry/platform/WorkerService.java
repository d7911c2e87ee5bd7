package org.wheatwall.entry.platform;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.wire.platform.WorkerExchange;

/** The workers. */
public interface WorkerService {
  /** Exchanges with the worker at {@code address}; fails if no answer comes in time. */
  CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange, long timeoutMs);
}
