package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.peer.HolderPort;
import org.wheatwall.entry.batch.peer.ReachabilityPort;
import org.wheatwall.entry.batch.peer.ReachabilityReport;

/** The network between entry hosts in simulated time; a host can be partitioned from all others. */
final class SimulatedPeers {
  private static final int TIMEOUT_MS = 200;
  private static final int SURVEY_TIMEOUT_MS = 800;

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

  ReachabilityPort reachabilityPortOf(SimulatedHost sender) {
    return (address, workerAddresses) -> {
      CompletableFuture<ReachabilityReport> response = new CompletableFuture<>();
      time.after(
          SURVEY_TIMEOUT_MS,
          () -> response.completeExceptionally(new IllegalStateException("no response")));
      for (SimulatedHost host : hosts) {
        if (isReachable(sender, host, address)) {
          time.after(oneWayDelayMs(), () -> deliver(host, workerAddresses, response));
        }
      }
      return response;
    };
  }

  private boolean isReachable(SimulatedHost sender, SimulatedHost host, String address) {
    boolean connected = !partitioned.contains(host) && !partitioned.contains(sender);
    return connected && host.isAlive() && host.peerAddress().equals(address);
  }

  private void deliver(
      SimulatedHost host,
      List<String> workerAddresses,
      CompletableFuture<ReachabilityReport> response) {
    if (host.isAlive()) {
      host.batch()
          .countReachable(workerAddresses)
          .thenAccept(report -> time.after(oneWayDelayMs(), () -> response.complete(report)));
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
      if (isReachable(sender, host, address)) {
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
