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
  private final Set<SimulatedHost> cut = new HashSet<>();

  SimulatedPeers(VirtualTime time) {
    this.time = time;
  }

  void add(SimulatedHost host) {
    hosts.add(host);
  }

  void setCut(SimulatedHost host, boolean next) {
    if (next) {
      cut.add(host);
    } else {
      cut.remove(host);
    }
  }

  HolderPort portOf(SimulatedHost asking) {
    return (address, term) -> ask(asking, address, term);
  }

  private CompletableFuture<Boolean> ask(SimulatedHost asking, String address, long term) {
    CompletableFuture<Boolean> answer = new CompletableFuture<>();
    time.after(
        TIMEOUT_MS, () -> answer.completeExceptionally(new IllegalStateException("no answer")));
    for (SimulatedHost host : hosts) {
      boolean reached = !cut.contains(host) && !cut.contains(asking);
      if (reached && host.alive() && host.peerAddress().equals(address)) {
        time.after(oneWay(), () -> pass(host, term, answer));
      }
    }
    return answer;
  }

  private void pass(SimulatedHost host, long term, CompletableFuture<Boolean> answer) {
    if (host.alive()) {
      host.batch()
          .actsOn(term)
          .thenAccept(acts -> time.after(oneWay(), () -> answer.complete(acts)));
    }
  }

  private int oneWay() {
    return 1 + time.random().nextInt(3);
  }
}
