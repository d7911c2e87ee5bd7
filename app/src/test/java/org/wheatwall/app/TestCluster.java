package org.wheatwall.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Callable;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.platform.HostList;
import org.wheatwall.wire.platform.ListedHost;

/** Runs entry hosts and stand-ins as separate processes on loopback. */
final class TestCluster implements AutoCloseable {
  static final String PEER_KEY = "test-key";

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private final Deque<TestProcess> processes = new ArrayDeque<>();
  private final Path directory;
  private final Path log;
  private final List<String> zones;
  private final int retentionMs;
  private String tokens = "{}";
  private final TestProcess logService;
  private final TestProcess hostList;

  TestCluster(Path directory, List<String> zones) throws IOException {
    this(directory, zones, 3_600_000);
  }

  /** Starts a platform whose log retains records for {@code retentionMs}. */
  TestCluster(Path directory, List<String> zones, int retentionMs) throws IOException {
    this.retentionMs = retentionMs;
    this.directory = directory;
    this.log = directory.resolve("processes.log");
    this.zones = zones;
    logService = start("standin", "log", "--retention-ms", String.valueOf(retentionMs));
    hostList = start("standin", "list");
  }

  /** Sets the tokens section (JSON) in the settings of entry hosts started later. */
  void setTokens(String json) {
    tokens = json;
  }

  Path log() {
    return log;
  }

  TestProcess logService() {
    return logService;
  }

  TestProcess hostList() {
    return hostList;
  }

  TestProcess start(String... arguments) throws IOException {
    TestProcess process = TestProcess.start(log, arguments);
    processes.push(process);
    return process;
  }

  TestProcess startRunner(String name, String zone, String service, int serviceMs)
      throws Exception {
    TestProcess runner = start("standin", "runner", "--service-ms", String.valueOf(serviceMs));
    addToHostList(ListedHost.runner(name, zone, service, runner.address(), 8));
    return runner;
  }

  TestProcess startWorker(String name, String zone, String rack) throws Exception {
    TestProcess worker = start("standin", "worker", "--host", name);
    addToHostList(
        ListedHost.worker(name, zone, rack, worker.address(), new ResourceAmount(32, 131_072, 8)));
    return worker;
  }

  TestProcess startReadyEntry(String name, String zone) throws Exception {
    return startReadyEntry(name, zone, freePort(), logService.address());
  }

  /** Starts an entry host without waiting until it is ready. */
  TestProcess startEntryWithoutWaiting(String name, String zone) throws Exception {
    int peerPort = freePort();
    return startEntry(name, zone, peerPort, peerPort, logService.address());
  }

  /** Starts an entry host that peers reach through a proxy at {@code advertisedPort}. */
  TestProcess startReadyEntryBehindProxy(
      String name, String zone, int peerPort, int advertisedPort, String logAddress)
      throws Exception {
    TestProcess entry = startEntry(name, zone, peerPort, advertisedPort, logAddress);
    until("ready " + name, () -> get(entry, "/v1/health/ready").statusCode() == 200);
    return entry;
  }

  TestProcess startReadyEntry(String name, String zone, int peerPort, String logAddress)
      throws Exception {
    TestProcess entry = startEntry(name, zone, peerPort, peerPort, logAddress);
    until("ready " + name, () -> get(entry, "/v1/health/ready").statusCode() == 200);
    return entry;
  }

  private TestProcess startEntry(
      String name, String zone, int peerPort, int advertisedPort, String logAddress)
      throws Exception {
    String settings =
        """
        {
          // Settings of an entry host under test.
          "host": "%s",
          "zone": "%s",
          "zones": %s,
          "listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:%d", "shown": "127.0.0.1:%d"},
          "platform": {"log": "%s", "list": "%s", "listPollMs": 100, "retentionMs": %d},
          "peerKey": "%s",
          "requests": {"maxDeadlineMs": 5000},
          "tokens": %s
        }
        """
            .formatted(
                name,
                zone,
                new String(Json.bytes(zones), java.nio.charset.StandardCharsets.UTF_8),
                peerPort,
                advertisedPort,
                logAddress,
                hostList.address(),
                retentionMs,
                PEER_KEY,
                tokens);
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, settings);
    addToHostList(ListedHost.entry(name, zone, "127.0.0.1:" + advertisedPort));
    return start("entry", "--settings", file.toString());
  }

  /** Injects a log fault: an outage, or a percentage of lost responses. */
  void setLogFault(boolean outage, int lostResponsesPercent) throws Exception {
    String fault =
        "{\"outage\": %s, \"loseAnswersPercent\": %d, \"delayMs\": 0}"
            .formatted(outage, lostResponsesPercent);
    put(logService, "/fault", fault);
  }

  void addToHostList(ListedHost host) throws Exception {
    send(hostList, "PUT", "/hosts", Json.bytes(new HostList(List.of(host))));
  }

  /** Removes a host from the platform's host list, as the platform does with a dead host. */
  void removeFromHostList(String name) throws Exception {
    send(hostList, "DELETE", "/hosts/" + name, new byte[0]);
  }

  HttpResponse<String> get(TestProcess process, String path) throws Exception {
    return client.send(request(process, path).GET().build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> send(
      TestProcess process, String method, String path, byte[] body, String... headers)
      throws Exception {
    HttpRequest.Builder request =
        request(process, path).method(method, HttpRequest.BodyPublishers.ofByteArray(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> put(TestProcess entry, String path, String json, String... headers)
      throws Exception {
    return send(
        entry, "PUT", path, json.getBytes(java.nio.charset.StandardCharsets.UTF_8), headers);
  }

  JsonNode json(TestProcess process, String path) throws Exception {
    return Json.tree(get(process, path).body().getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Polls until a condition holds; fails the test after 20 seconds. */
  static void until(String what, Callable<Boolean> condition) throws Exception {
    long deadlineNs = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    Exception lastFailure = null;
    while (System.nanoTime() < deadlineNs) {
      try {
        if (condition.call()) {
          return;
        }
        lastFailure = null;
      } catch (IOException e) {
        lastFailure = e;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("not reached within 20 s: " + what, lastFailure);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static HttpRequest.Builder request(TestProcess process, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + process.address() + path))
        .timeout(Duration.ofSeconds(15));
  }

  @Override
  public void close() {
    processes.forEach(TestProcess::close);
  }
}
