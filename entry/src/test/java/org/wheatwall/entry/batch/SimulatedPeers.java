package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.peer.HolderPort;

/** The network between entry hosts in simulated time; a host can be partitioned from all others. */
final class SimulatedPeers {
  private static final int TIMEOUT_MS = 200;

  private final VirtualTime time;
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final Set<SimulatedHost> partitioned = new HashSet<>();

  SimulatedPeers(VirtualTime time) {
    this.time = time;
  }

  void add(SimulatedHost host) {
    hosts.add(host);
  }

  void setPartitioned(SimulatedHost host, boolean isPartitioned) {
    if (isPartitioned) {
      partitioned.add(host);
    } else {
      partitioned.remove(host);
    }
  }

  HolderPort portOf(SimulatedHost sender) {
    return (address, term) -> query(sender, address, term);
  }

  private CompletableFuture<Boolean> query(SimulatedHost sender, String address, long term) {
    CompletableFuture<Boolean> response = new CompletableFuture<>();
    time.after(
        TIMEOUT_MS, () -> response.completeExceptionally(new IllegalStateException("no response")));
    for (SimulatedHost host : hosts) {
      boolean isReachable = !partitioned.contains(host) && !partitioned.contains(sender);
      if (isReachable && host.isAlive() && host.peerAddress().equals(address)) {
        time.after(oneWayDelayMs(), () -> deliver(host, term, response));
      }
    }
    return response;
  }

  private void deliver(SimulatedHost host, long term, CompletableFuture<Boolean> response) {
    if (host.isAlive()) {
      host.batch()
          .actsOn(term)
          .thenAccept(isActing -> time.after(oneWayDelayMs(), () -> response.complete(isActing)));
    }
  }

  private int oneWayDelayMs() {
    return 1 + time.random().nextInt(3);
  }
}
