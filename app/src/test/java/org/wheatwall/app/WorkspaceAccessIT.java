package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The token of a workspace gives access only to the jobs of that workspace. Guards against a check
 * of only the new content, which would allow a caller to overwrite a job of another workspace.
 */
final class WorkspaceAccessIT {
  private static final String JOB =
      """
      {"workspace": "%s", "zone": "z1", "tasks": 1, "adjacency": "any", "declaredSeconds": 60,
       "taskAmount": {"processors": 1, "memoryMb": 64, "accelerators": 1}, "preemptible": true}
      """;

  @TempDir Path directory;

  @Test
  void jobsOfAnotherWorkspaceCannotBeReadOverwrittenOrCancelled() throws Exception {
    try (TestCluster cluster = new TestCluster(directory, List.of("z1"))) {
      cluster.setTokens(
          """
          {"administer": ["admin"], "workspaces": {"delta": ["d-token"], "coplit": ["c-token"]}}
          """);
      TestProcess entry = cluster.startReadyEntry("entry-1", "z1");
      String path = "/v1/jobs/screening";
      assertThat(status(cluster, entry, "PUT", path, JOB.formatted("delta"), "d-token"))
          .isEqualTo(200);
      String otherWorkspaceJob = JOB.formatted("coplit");
      for (String[] call :
          List.of(
              new String[] {"GET", path, "", "404"},
              new String[] {"GET", path + "/explain", "", "404"},
              new String[] {"DELETE", path, "", "404"},
              new String[] {"PUT", path, otherWorkspaceJob, "403"},
              new String[] {"PUT", path, JOB.formatted("delta"), "403"},
              new String[] {"PUT", "/v1/workspaces/coplit", "{}", "403"},
              new String[] {"GET", "/v1/state", "", "403"})) {
        assertWithMessage(call[0] + " " + call[1])
            .that(status(cluster, entry, call[0], call[1], call[2], "c-token"))
            .isEqualTo(Integer.parseInt(call[3]));
      }
      assertThat(body(cluster, entry, "/v1/jobs", "c-token")).doesNotContain("screening");
      assertThat(body(cluster, entry, "/v1/jobs", "d-token")).contains("screening");
      assertThat(body(cluster, entry, "/v1/jobs", "admin")).contains("screening");
      assertThat(status(cluster, entry, "GET", path, "", "nobody")).isEqualTo(401);
    }
  }

  private static int status(
      TestCluster cluster, TestProcess entry, String method, String path, String body, String token)
      throws Exception {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return cluster
        .send(entry, method, path, bytes, "Authorization", "Bearer " + token)
        .statusCode();
  }

  private static String body(TestCluster cluster, TestProcess entry, String path, String token)
      throws Exception {
    return cluster.send(entry, "GET", path, new byte[0], "Authorization", "Bearer " + token).body();
  }
}
