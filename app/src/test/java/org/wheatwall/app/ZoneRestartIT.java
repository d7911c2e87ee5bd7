package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wheatwall.app.TestCluster.until;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Gangs continue to run and nothing starts twice when the decider dies or is paused, or when all
 * entry hosts of the zone are replaced at once during a log outage. Guards against a new host that
 * restarts every gang, leases that expire while there is no decider, and a paused decider that acts
 * on stale state.
 */
final class ZoneRestartIT {
  private static final String ZONE = "z1";
  private static final int JOB_SECONDS = 25;
  // Limit for the time beyond the declared run time, including changes of the decider.
  private static final int ALLOWED_DELAY_SECONDS = 5;
  // A host that remains decider for this long is stable; during a view change the decider may
  // change twice in succession.
  private static final int STABLE_DECIDER_MS = 1000;
  private static final String JOB =
      """
      {"workspace": "delta", "zone": "z1", "tasks": 2, "adjacency": "same-rack",
       "taskAmount": {"processors": 4, "memoryMb": 1024, "accelerators": 8},
       "declaredSeconds": %d}
      """;

  @TempDir Path directory;

  @Test
  void gangSurvivesReplacementOfEveryHostDuringALogOutage() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of(ZONE))) {
      List<TestProcess> workers = workers(cluster);
      TestProcess first = cluster.startReadyEntry("entry-1", ZONE);
      TestProcess second = cluster.startReadyEntry("entry-2", ZONE);
      cluster.put(first, "/v1/jobs/long", JOB.formatted(22));
      until("the gang", () -> events(cluster, workers, "start").size() == 2);
      cluster.setLogFault(true, 0);
      first.kill();
      second.kill();
      cluster.removeFromHostList("entry-1");
      cluster.removeFromHostList("entry-2");
      // A host that starts now reaches neither the log nor peers, so it is not ready; it renews
      // leases.
      cluster.startEntryWithoutWaiting("entry-3", ZONE);
      Thread.sleep(9000);
      assertWithMessage("gangs stopped while there was no decider")
          .that(events(cluster, workers, "stop"))
          .isEmpty();
      cluster.setLogFault(false, 0);
      TestProcess replacement = cluster.startReadyEntry("entry-4", ZONE);
      until("the job's end", () -> phase(cluster, replacement, "long").equals("succeeded"));
      assertThat(events(cluster, workers, "start")).hasSize(2);
      assertThat(events(cluster, workers, "stop")).containsExactly("succeeded", "succeeded");
    }
  }

  @Test
  void deadOrPausedDeciderIsReplacedWithoutASecondStart() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of(ZONE))) {
      List<TestProcess> workers = workers(cluster);
      List<TestProcess> entries = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        entries.add(cluster.startReadyEntry("entry-" + i, ZONE));
      }
      cluster.put(entries.get(0), "/v1/jobs/long", JOB.formatted(JOB_SECONDS));
      until("the gang", () -> events(cluster, workers, "start").size() == 2);
      long startedNs = System.nanoTime();
      TestProcess paused = awaitStableDecider(cluster, entries);
      paused.signal("STOP");
      List<TestProcess> others = new ArrayList<>(entries);
      others.remove(paused);
      long pausedAtNs = System.nanoTime();
      awaitDecider(cluster, others);
      long takeOverMs = (System.nanoTime() - pausedAtNs) / 1_000_000;
      System.out.printf("takeOverMs=%d%n", takeOverMs);
      assertWithMessage("the paused host was the decider")
          .that(takeOverMs)
          .isAtLeast(STABLE_DECIDER_MS);
      paused.signal("CONT");
      Thread.sleep(2000);
      TestProcess killed = awaitStableDecider(cluster, entries);
      killed.kill();
      entries.remove(killed);
      awaitDecider(cluster, entries);
      long elapsedMs = (System.nanoTime() - startedNs) / 1_000_000;
      Thread.sleep(Math.max(0, JOB_SECONDS * 1000 - elapsedMs));
      until("the job's end", () -> phase(cluster, entries.get(0), "long").equals("succeeded"));
      assertThat((System.nanoTime() - startedNs) / 1_000_000_000)
          .isAtMost(JOB_SECONDS + ALLOWED_DELAY_SECONDS);
      assertThat(events(cluster, workers, "start")).hasSize(2);
      assertThat(events(cluster, workers, "stop")).containsExactly("succeeded", "succeeded");
    }
  }

  private static TestProcess awaitStableDecider(TestCluster cluster, List<TestProcess> entries)
      throws Exception {
    while (true) {
      TestProcess first = awaitDecider(cluster, entries);
      Thread.sleep(STABLE_DECIDER_MS);
      if (awaitDecider(cluster, entries) == first) {
        return first;
      }
    }
  }

  private static List<TestProcess> workers(TestCluster cluster) throws Exception {
    return List.of(
        cluster.startWorker("worker-1", ZONE, "rack-1"),
        cluster.startWorker("worker-2", ZONE, "rack-1"));
  }

  // During a view change the zone briefly has no decider.
  private static TestProcess awaitDecider(TestCluster cluster, List<TestProcess> entries)
      throws Exception {
    AtomicReference<TestProcess> found = new AtomicReference<>();
    until(
        "a decider",
        () -> {
          found.set(decider(cluster, entries));
          return found.get() != null;
        });
    return found.get();
  }

  private static TestProcess decider(TestCluster cluster, List<TestProcess> entries)
      throws Exception {
    for (TestProcess entry : entries) {
      JsonNode state = cluster.json(entry, "/v1/state");
      boolean decides = state.path("jobs").path("stage").asText().equals("DECIDING");
      if (decides && state.path("view").path("acting").asBoolean()) {
        return entry;
      }
    }
    return null;
  }

  /** Returns the reasons of all events of a kind on all workers. */
  private static List<String> events(TestCluster cluster, List<TestProcess> workers, String kind)
      throws Exception {
    List<String> reasons = new ArrayList<>();
    for (TestProcess worker : workers) {
      for (JsonNode event : cluster.json(worker, "/ledger")) {
        if (event.path("event").asText().equals(kind)) {
          reasons.add(event.path("reason").asText());
        }
      }
    }
    return reasons;
  }

  private static String phase(TestCluster cluster, TestProcess entry, String job) throws Exception {
    return cluster.json(entry, "/v1/jobs/" + job).path("spec").path("phase").asText();
  }
}
