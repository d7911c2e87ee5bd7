package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wheatwall.app.TestCluster.until;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Accepted configuration changes survive log outages, log retention and the replacement of every
 * host. Guards against a host that starts from a log whose early records have expired,
 * unconditional retries after a lost response, last-writer-wins updates, and an older copy that
 * replaces a newer one.
 */
final class ConfigurationIT {
  private static final int RETENTION_MS = 6000;

  @TempDir Path directory;

  @Test
  void acceptedChangesSurviveRetentionOutagesAndReplacedHosts() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"), RETENTION_MS)) {
      TestProcess first = cluster.startReadyEntry("entry-1", "z1");
      TestProcess second = cluster.startReadyEntry("entry-2", "z1");
      Map<String, Long> accepted = new HashMap<>();
      cluster.setLogFault(false, 30);
      for (int i = 0; i < 12; i++) {
        accept(cluster, i % 2 == 0 ? first : second, "workspace-" + i, accepted);
      }
      cluster.setLogFault(false, 0);
      removeOne(cluster, first, accepted);
      until(
          "all changes on both hosts",
          () -> hasVersions(cluster, first, accepted) && hasVersions(cluster, second, accepted));

      Thread.sleep(RETENTION_MS + 3000);
      TestProcess late = cluster.startReadyEntry("entry-3", "z1");
      assertWithMessage("a host that starts after retention")
          .that(versions(cluster, late))
          .isEqualTo(accepted);

      cluster.setLogFault(true, 0);
      TestProcess duringOutage = cluster.startReadyEntry("entry-4", "z1");
      assertWithMessage("a host that starts from its peers during a log outage")
          .that(versions(cluster, duringOutage))
          .isEqualTo(accepted);
      assertThat(cluster.put(first, "/v1/workspaces/during", "{}").statusCode()).isEqualTo(202);
      cluster.setLogFault(false, 0);
      until(
          "the change made during the outage", () -> versions(cluster, late).containsKey("during"));
      // Long enough for a snapshot and shorter than the retention, so that the log has the full
      // state.
      Thread.sleep(RETENTION_MS * 2 / 3);
      for (TestProcess entry : List.of(first, second, late, duringOutage)) {
        entry.kill();
      }
      TestProcess replacement = cluster.startReadyEntry("entry-5", "z1");
      Map<String, Long> after = versions(cluster, replacement);
      after.remove("during");
      assertWithMessage("after every host was replaced").that(after).isEqualTo(accepted);
    }
  }

  @Test
  void exactlyOneOfSeveralConcurrentChangesIsAccepted() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1", "z2"))) {
      List<TestProcess> entries =
          List.of(
              cluster.startReadyEntry("entry-1", "z1"), cluster.startReadyEntry("entry-2", "z2"));
      for (int round = 0; round < 10; round++) {
        String path = "/v1/workspaces/contended-" + round;
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
          TestProcess entry = entries.get(i % 2);
          String body = "{\"acceleratorQuota\": " + i + "}";
          responses.add(
              CompletableFuture.supplyAsync(
                  () -> {
                    try {
                      return cluster.put(entry, path, body).statusCode();
                    } catch (Exception e) {
                      throw new IllegalStateException(e);
                    }
                  }));
        }
        List<Integer> statuses = responses.stream().map(CompletableFuture::join).toList();
        assertThat(statuses.stream().filter(status -> status == 200).count()).isEqualTo(1);
        assertThat(statuses.stream().filter(status -> status == 412).count()).isEqualTo(5);
        until("same content", () -> sameEverywhere(cluster, entries, path));
      }
    }
  }

  private static boolean sameEverywhere(TestCluster cluster, List<TestProcess> entries, String path)
      throws Exception {
    HttpResponse<String> one = cluster.get(entries.get(0), path);
    HttpResponse<String> other = cluster.get(entries.get(1), path);
    return one.statusCode() == 200 && one.body().equals(other.body());
  }

  private static void accept(
      TestCluster cluster, TestProcess entry, String name, Map<String, Long> accepted)
      throws Exception {
    HttpResponse<String> reply = cluster.put(entry, "/v1/workspaces/" + name, "{}");
    if (reply.statusCode() == 202) {
      // 202: not read back from the log in time; the change is in force once the object can be
      // read.
      until("in force", () -> cluster.get(entry, "/v1/workspaces/" + name).statusCode() == 200);
    } else {
      assertThat(reply.statusCode()).isEqualTo(200);
    }
    accepted.put(name, cluster.json(entry, "/v1/workspaces/" + name).path("version").asLong());
  }

  private static void removeOne(TestCluster cluster, TestProcess entry, Map<String, Long> accepted)
      throws Exception {
    String version = String.valueOf(accepted.remove("workspace-3"));
    HttpResponse<String> reply =
        cluster.send(
            entry, "DELETE", "/v1/workspaces/workspace-3", new byte[0], "If-Match", version);
    // 202: not read back from the log in time; the change takes effect later.
    assertThat(reply.statusCode()).isAnyOf(200, 202);
    until("removed", () -> cluster.get(entry, "/v1/workspaces/workspace-3").statusCode() == 404);
  }

  private static boolean hasVersions(
      TestCluster cluster, TestProcess entry, Map<String, Long> accepted) throws Exception {
    return versions(cluster, entry).equals(accepted);
  }

  private static Map<String, Long> versions(TestCluster cluster, TestProcess entry)
      throws Exception {
    Map<String, Long> versions = new HashMap<>();
    for (JsonNode item : cluster.json(entry, "/v1/workspaces?limit=1000").path("items")) {
      versions.put(item.path("name").asText(), item.path("version").asLong());
    }
    return versions;
  }
}
