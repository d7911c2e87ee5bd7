package org.wheatwall.entry.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.entry.configuration.Draft;
import org.wheatwall.wire.platform.ListedHost;
import org.wheatwall.wire.platform.WorkerExchange;

/** What the decider needs from the rest of the entry host. */
interface DeciderPorts {
  /** Returns this host's lease, empty if it may not decide now. */
  Optional<DeciderLease> lease();

  /** Sends an exchange; the future completes on the decision loop. */
  CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange, long timeoutMs);

  /** Publishes a change; the future completes with its verdict on the decision loop. */
  CompletableFuture<Verdict> publish(Draft draft);

  /** Returns the workers of the zone that the platform lists. */
  List<ListedHost> workers();
}
