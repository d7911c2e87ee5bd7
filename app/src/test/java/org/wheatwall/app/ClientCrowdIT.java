package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wheatwall.wire.http.Addresses;
import org.wheatwall.wire.json.Json;

/**
 * Guards against clients that end a process or keep it from answering others by what they make it
 * hold with legal requests: objects for header lines, parts of bodies, connections, responses. Runs
 * entry hosts of both planes as processes, with the heap of their launcher or less.
 */
final class ClientCrowdIT {
  private static final String SERVE_MEMORY = "-Xmx64m -XX:MaxDirectMemorySize=24m";
  private static final String READY_PATH = "/v1/health/ready";
  private static final int SLOW_SERVICE_MS = 2000;
  private static final int JOB_TIMEOUT_MS = 60_000;
  private static final int ROUNDS = 6;
  private static final int FRAME_CONNECTIONS = 300;
  private static final int FRAME_BYTES = 400_000;

  @TempDir Path folder;

  @ParameterizedTest
  @EnumSource(CrowdRequest.class)
  void entryHostServesOthersDuringAndAfterACrowdAtItsCalls(CrowdRequest request) throws Exception {
    withEntryHost(
        (cluster, entry) -> {
          String service = request == CrowdRequest.UNREAD_RESPONSES ? "fast" : "slow";
          byte[] bytes = request.bytes("/call/" + service + "/crowd");
          pressEntryHost(
              entry, entry.port(), bytes, request.connections(), request.readsResponses());
        });
  }

  @ParameterizedTest
  @EnumSource(
      value = CrowdRequest.class,
      names = {"WHOLE_HEADERS", "UNREAD_RESPONSES"})
  void entryHostServesOthersDuringAndAfterCrowdsThatLeaveBeforeTheirResponses(CrowdRequest request)
      throws Exception {
    withEntryHost(
        (cluster, entry) -> {
          byte[] bytes = request.bytes("/call/slow/crowd");
          for (int round = 0; round < ROUNDS; round++) {
            pressEntryHost(entry, entry.port(), bytes, request.connections(), true);
          }
        });
  }

  @Test
  void entryHostServesOthersDuringAndAfterUnfinishedFramesAtItsPeerPort() throws Exception {
    byte[] frame = new byte[FRAME_BYTES];
    frame[1] = 0x0f; // announces about 1 MB
    withEntryHost(
        (cluster, entry) ->
            pressEntryHost(entry, entry.peerPort(), frame, FRAME_CONNECTIONS, true));
  }

  @Test
  void requestOfManyShortHeaderLinesIsServedInCalm() throws Exception {
    withEntryHost(
        (cluster, entry) -> {
          String request =
              "GET "
                  + READY_PATH
                  + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                  + "a:\r\n".repeat(2000)
                  + "\r\n";
          assertThat(OrdinaryCaller.send(entry.port(), request).orElse("none")).contains(" 200 ");
        });
  }

  @Test
  void slowCallerIsServedDuringACrowdOfLargeBodies() throws Exception {
    withEntryHost(
        (cluster, entry) -> {
          CrowdRequest request = CrowdRequest.UNFINISHED_LARGE_BODY;
          byte[] bytes = request.bytes("/call/slow/crowd");
          try (ClientCrowd crowd =
              new ClientCrowd(entry.port(), bytes, request.connections(), true)) {
            crowd.awaitSent();
            String[] parts = new String[11];
            Arrays.fill(parts, "x".repeat(100));
            parts[0] =
                "POST /call/fast/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1000\r\n\r\n";
            assertThat(OrdinaryCaller.send(entry.port(), parts).orElse("none")).contains(" 200 ");
          }
        });
  }

  @ParameterizedTest
  @CsvSource({
    "jobs, UNFINISHED_HEADERS",
    "jobs, UNFINISHED_TRAILERS",
    "jobs, UNFINISHED_LARGE_BODY",
    "jobs, ONE_BYTE_CHUNKS",
    "jobs, NOTHING",
    "peers, UNFINISHED_HEADERS",
    "peers, UNFINISHED_LARGE_BODY",
    "ready, UNFINISHED_HEADERS",
    "ready, UNFINISHED_LARGE_BODY",
    "metrics, UNFINISHED_HEADERS",
    "metrics, NOTHING"
  })
  void servedHostRunsJobsDuringAndAfterACrowd(String listener, CrowdRequest request)
      throws Exception {
    ServedHost.runScenario(
        folder,
        ClientCrowdIT::serveCommand,
        folder,
        (cluster, group, host) -> {
          assertThat(cluster.runJob(group, host.port(), JOB_TIMEOUT_MS)).isTrue();
          int port = port(host, listener);
          byte[] bytes = request.bytes("/queue/");
          try (ClientCrowd crowd =
              new ClientCrowd(port, bytes, request.connections(), request.readsResponses())) {
            crowd.awaitSent();
            assertWithMessage("answer to another caller during the crowd")
                .that(OrdinaryCaller.get(port, "/other"))
                .isPresent();
            ProcessUse.assertWithinMachine(host.process());
          }
          assertThat(cluster.runJob(group, host.port(), JOB_TIMEOUT_MS)).isTrue();
          assertWithMessage("answer to another caller after the crowd")
              .that(OrdinaryCaller.get(port, "/other"))
              .isPresent();
          ProcessUse.assertWithinMachine(host.process());
          assertThat(Files.readString(host.output())).doesNotContain("OutOfMemoryError");
        });
  }

  private static List<String> serveCommand(Path settings) {
    return List.of(
        "env",
        "WHEATWALL_JAVA_OPTIONS=" + SERVE_MEMORY,
        System.getProperty("wheatwall.executable"),
        "serve",
        "--settings",
        settings.toString());
  }

  private static int port(ServedHost host, String listener) throws Exception {
    JsonNode settings = Json.tree(Files.readAllBytes(host.settings()));
    return Addresses.parse(settings.path("listen").path(listener).asText()).getPort();
  }

  private static void pressEntryHost(
      EntryProcess entry, int port, byte[] bytes, int connections, boolean reads) throws Exception {
    try (ClientCrowd crowd = new ClientCrowd(port, bytes, connections, reads)) {
      crowd.awaitSent();
      assertReady("during", entry);
    }
    assertReady("after", entry);
  }

  private static void assertReady(String when, EntryProcess entry) throws Exception {
    assertWithMessage("answer to another caller " + when + " the crowd")
        .that(OrdinaryCaller.get(entry.port(), READY_PATH).orElse("none"))
        .contains(" 200 ");
    ProcessUse.assertWithinMachine(entry.process().process());
  }

  private interface EntryScenario {
    void run(TestCluster cluster, EntryProcess entry) throws Exception;
  }

  /** An entry host as a process, and the port at which other entry hosts reach it. */
  private record EntryProcess(TestProcess process, int peerPort) {
    int port() {
      return process.port();
    }
  }

  private void withEntryHost(EntryScenario scenario) throws Exception {
    try (TestCluster cluster = new TestCluster(folder, List.of("z1"))) {
      cluster.startRunner("runner-slow", "z1", "slow", SLOW_SERVICE_MS);
      cluster.startRunner("runner-fast", "z1", "fast", 0);
      int peerPort = TestCluster.freePort();
      TestProcess entry =
          cluster.startReadyEntry("entry-0", "z1", peerPort, cluster.logService().address());
      TestCluster.until("slots", () -> cluster.get(entry, "/call/fast/warm").statusCode() == 200);
      scenario.run(cluster, new EntryProcess(entry, peerPort));
    }
  }
}
