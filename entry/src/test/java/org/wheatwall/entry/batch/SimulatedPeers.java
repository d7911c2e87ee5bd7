package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.entry.batch.peer.HolderPort;

/** The ways between entry hosts in simulated time; a host may be cut off from all others. */
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

  void setPartitioned(SimulatedHost host, boolean next) {
    if (next) {
      partitioned.add(host);
    } else {
      partitioned.remove(host);
    }
  }

  HolderPort portOf(SimulatedHost asking) {
    return (address, term) -> query(asking, address, term);
  }

  private CompletableFuture<Boolean> query(SimulatedHost asking, String address, long term) {
    CompletableFuture<Boolean> answer = new CompletableFuture<>();
    time.after(
        TIMEOUT_MS, () -> answer.completeExceptionally(new IllegalStateException("no answer")));
    for (SimulatedHost host : hosts) {
      boolean reached = !partitioned.contains(host) && !partitioned.contains(asking);
      if (reached && host.isAlive() && host.peerAddress().equals(address)) {
        time.after(oneWayDelayMs(), () -> deliver(host, term, answer));
      }
    }
    return answer;
  }

  private void deliver(SimulatedHost host, long term, CompletableFuture<Boolean> answer) {
    if (host.isAlive()) {
      host.batch()
          .actsOn(term)
          .thenAccept(acts -> time.after(oneWayDelayMs(), () -> answer.complete(acts)));
    }
  }

  private int oneWayDelayMs() {
    return 1 + time.random().nextInt(3);
  }
}
