package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static org.wheatwall.app.TestCluster.until;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a request and a gang end to end, with every component in a separate process. */
final class EndToEndIT {
  private static final String ZONE = "smouha-hall";

  @TempDir Path directory;

  @Test
  void requestAndGangRunThroughSeparateProcesses() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of(ZONE))) {
      cluster.startRunner("runner-1", ZONE, "refill", 1);
      TestProcess worker1 = cluster.startWorker("worker-1", ZONE, "rack-1");
      TestProcess worker2 = cluster.startWorker("worker-2", ZONE, "rack-1");
      TestProcess entry = cluster.startReadyEntry("entry-1", ZONE);

      until("a slot", () -> call(cluster, entry, "a").statusCode() == 200);
      HttpResponse<String> answer = call(cluster, entry, "insulin");
      assertThat(answer.headers().firstValue("Wheatwall-Outcome")).hasValue("answered");
      assertThat(answer.headers().firstValue("Wheatwall-Request")).isPresent();
      assertThat(answer.body()).endsWith("insulin");

      assertThat(cluster.put(entry, "/v1/workspaces/delta", "{}").statusCode()).isEqualTo(200);
      String gang =
          """
          {"workspace": "delta", "zone": "smouha-hall", "tasks": 2, "adjacency": "same-rack",
           "taskAmount": {"processors": 4, "memoryMb": 1024, "accelerators": 8},
           "declaredSeconds": 1}
          """;
      assertThat(cluster.put(entry, "/v1/jobs/screening", gang).statusCode()).isEqualTo(200);
      until("the job's end", () -> phase(cluster, entry, "screening").equals("succeeded"));

      for (TestProcess worker : List.of(worker1, worker2)) {
        JsonNode ledger = cluster.json(worker, "/ledger");
        assertThat(ledger.findValuesAsText("event")).containsExactly("start", "stop").inOrder();
      }
      JsonNode state = cluster.json(entry, "/v1/state");
      assertThat(state.path("view").path("acting").asBoolean()).isTrue();
      assertThat(state.path("jobs").path("acceleratorsFree").asInt()).isEqualTo(16);
    }
  }

  private static HttpResponse<String> call(TestCluster cluster, TestProcess entry, String body)
      throws Exception {
    return cluster.send(
        entry,
        "POST",
        "/call/refill/orders",
        body.getBytes(java.nio.charset.StandardCharsets.UTF_8),
        "Idempotency-Key",
        "key-" + body);
  }

  private static String phase(TestCluster cluster, TestProcess entry, String job) throws Exception {
    return cluster.json(entry, "/v1/jobs/" + job).path("spec").path("phase").asText();
  }
}
