package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The limits of 8 slots and 64 connections per runner hold across 2, 6 and 8 entry hosts, at
 * saturation and while a host is replaced. Guards against hosts that each apply the limit
 * separately (n times 8 requests), a dead host's share that is reassigned immediately, and idle
 * connections that accumulate.
 */
final class SharedLimitsIT {
  private static final int RUNNERS = 2;
  private static final int SERVICE_MS = 20;
  private static final int CALLERS = 40;
  private static final int PHASE_MS = 3000;

  @TempDir Path directory;

  @Test
  void limitsHoldForTwoSixAndEightHosts() throws Exception {
    for (int hosts : List.of(2, 6, 8)) {
      saturate(hosts);
    }
  }

  private void saturate(int hosts) throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      List<TestProcess> runners = new ArrayList<>();
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(cluster.startRunner("runner-" + i, "z1", "refill", SERVICE_MS));
      }
      List<TestProcess> entries = new ArrayList<>();
      for (int i = 0; i < hosts; i++) {
        entries.add(cluster.startEntryWithoutWaiting("entry-" + i, "z1"));
      }
      TestCluster.until("view", () -> members(cluster, entries.get(0)) == hosts);
      StepCallers callers = StepCallers.forReads();
      entries.forEach(callers::add);
      callers.start(CALLERS);
      Thread.sleep(PHASE_MS);
      long before = startedRequests(cluster, runners);
      Thread.sleep(PHASE_MS);
      long served = startedRequests(cluster, runners) - before;
      callers.remove(entries.get(1));
      entries.get(1).kill();
      callers.add(cluster.startReadyEntry("entry-" + hosts, "z1"));
      Thread.sleep(PHASE_MS);
      callers.stop();
      double capacity = RUNNERS * 8 * (double) PHASE_MS / SERVICE_MS;
      System.out.printf(
          "sharedLimits hosts=%d utilisation=%.2f longestMs=%d mostConnections=%s%n",
          hosts, served / capacity, callers.longestMs(), check(cluster, runners));
      assertThat(callers.mismatchedResponses()).isEqualTo(0);
      assertWithMessage("share of the slots used by %s hosts", hosts)
          .that(served / capacity)
          .isGreaterThan(0.5);
    }
  }

  private static List<Integer> check(TestCluster cluster, List<TestProcess> runners)
      throws Exception {
    List<Integer> connections = new ArrayList<>();
    for (TestProcess runner : runners) {
      JsonNode ledger = cluster.json(runner, "/standin/ledger");
      assertWithMessage("requests beyond the slot limit")
          .that(ledger.path("rejected").asLong())
          .isEqualTo(0);
      assertWithMessage("refused connections")
          .that(ledger.path("refusedConnections").asLong())
          .isEqualTo(0);
      connections.add(ledger.path("mostConnections").asInt());
    }
    return connections;
  }

  private static int members(TestCluster cluster, TestProcess entry) throws Exception {
    JsonNode view = cluster.json(entry, "/v1/state").path("view");
    return view.path("acting").asBoolean() ? view.path("members").size() : 0;
  }

  private static long startedRequests(TestCluster cluster, List<TestProcess> runners)
      throws Exception {
    long started = 0;
    for (TestProcess runner : runners) {
      started += cluster.json(runner, "/standin/ledger").path("begun").asLong();
    }
    return started;
  }
}
