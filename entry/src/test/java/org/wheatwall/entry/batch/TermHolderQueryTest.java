package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** How a host responds to queries about its term, and how they affect the term. */
final class TermHolderQueryTest {
  private static final long FIRST_TERM = 1;

  private final VirtualTime time = new VirtualTime(11);
  private final SimulatedStore store = new SimulatedStore(time);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(time, 4, 8, Optional.empty(), store::confirmedAtMs);
  private final SimulatedPeers peers = new SimulatedPeers(time);
  private final List<SimulatedHost> hosts = new ArrayList<>();

  private SimulatedHost addHost() {
    SimulatedHost host =
        new SimulatedHost(time, "host-" + hosts.size(), store, workers, peers, 6000, Set.of());
    hosts.add(host);
    host.start();
    return host;
  }

  private boolean actsOn(SimulatedHost host, long term) {
    CompletableFuture<Boolean> response = host.batch().actsOn(term);
    time.runFor(1);
    return response.join();
  }

  @Test
  void healthyHostConfirmsItsTerm() {
    SimulatedHost host = addHost();
    time.runFor(1000);
    assertThat(actsOn(host, FIRST_TERM)).isTrue();
    assertThat(actsOn(host, FIRST_TERM + 1)).isFalse();
  }

  @Test
  void hostPartitionedFromTheStoreGivesUpItsTermWhenQueried() {
    SimulatedHost host = addHost();
    time.runFor(1000);
    store.setPartitioned(host, true);
    time.runFor(500);
    assertThat(actsOn(host, FIRST_TERM)).isTrue();
    time.runFor(1000);
    assertThat(actsOn(host, FIRST_TERM)).isFalse();
  }

  // A query with an arbitrary term number must not prevent a host from winning terms.
  @Test
  void queryForAnUnclaimedTermChangesNothing() {
    SimulatedHost host = addHost();
    assertThat(actsOn(host, Long.MAX_VALUE)).isFalse();
    assertThat(actsOn(host, 100)).isFalse();
    time.runFor(1000);
    assertThat(actsOn(host, FIRST_TERM)).isTrue();
  }
}
