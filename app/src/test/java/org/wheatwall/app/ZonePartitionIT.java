package org.wheatwall.app;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wheatwall.app.TestCluster.until;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wheatwall.standin.proxy.FaultProxy;

/**
 * A zone that is partitioned from the platform, from the other zone, or from both continues to
 * serve the requests that it can, refuses the others as "not run", and converges again without
 * operator action. Each test covers a row of the table in docs/operators/cut-offs.md.
 */
final class ZonePartitionIT {
  private static final String JOB =
      """
      {"workspace": "delta", "zone": "z1", "tasks": 1, "declaredSeconds": %d,
       "taskAmount": {"processors": 4, "memoryMb": 1024, "accelerators": 4}}
      """;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @TempDir Path directory;

  @AfterEach
  void stopProxies() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void zonePartitionedFromThePlatform() throws Exception {
    try (Zones zones = new Zones()) {
      zones.cluster.put(zones.near, "/v1/jobs/before", JOB.formatted(600));
      until("a job", () -> zones.explain("before").contains("RUNNING"));
      zones.platform.setMode(FaultProxy.Mode.CUT);
      Thread.sleep(4000);
      assertThat(zones.read(zones.near)).isEqualTo("answered");
      Map<String, Integer> steps = zones.steps(zones.near, "cut-platform", 30);
      assertWithMessage("steps while the peers are reachable " + steps)
          .that(steps)
          .containsExactly("answered", 30);
      assertThat(zones.explain("before")).contains("RUNNING");
      assertThat(zones.cluster.put(zones.near, "/v1/workspaces/late", "{}").statusCode())
          .isEqualTo(202);
      assertThat(zones.cluster.put(zones.far, "/v1/workspaces/other", "{}").statusCode())
          .isEqualTo(200);
      zones.platform.setMode(FaultProxy.Mode.PASS);
      for (TestProcess entry : List.of(zones.near, zones.far)) {
        for (String name : List.of("late", "other")) {
          until(name, () -> zones.status(entry, "/v1/workspaces/" + name) == 200);
        }
      }
    }
  }

  @Test
  void zonePartitionedFromTheOtherZone() throws Exception {
    try (Zones zones = new Zones()) {
      zones.nearPeer.setMode(FaultProxy.Mode.CUT);
      assertThat(zones.read(zones.near)).isEqualTo("answered");
      Map<String, Integer> steps = zones.steps(zones.far, "cut-peers", 30);
      assertWithMessage("steps with keys of the other zone are refused, own ones answered " + steps)
          .that(steps.keySet())
          .containsExactly("answered", "not-run");
      assertThat(zones.cluster.put(zones.far, "/v1/workspaces/still", "{}").statusCode())
          .isEqualTo(200);
      until(
          "a change received through the log",
          () -> zones.status(zones.near, "/v1/workspaces/still") == 200);
      zones.nearPeer.setMode(FaultProxy.Mode.PASS);
      until(
          "healed",
          () ->
              zones
                  .steps(zones.far, "healed" + System.nanoTime(), 10)
                  .equals(Map.of("answered", 10)));
    }
  }

  @Test
  void zonePartitionedFromBoth() throws Exception {
    try (Zones zones = new Zones()) {
      zones.cluster.put(zones.near, "/v1/jobs/before", JOB.formatted(600));
      until("a job", () -> zones.explain("before").contains("RUNNING"));
      zones.platform.setMode(FaultProxy.Mode.HALF_OPEN);
      zones.nearPeer.setMode(FaultProxy.Mode.HALF_OPEN);
      Thread.sleep(6000);
      assertThat(zones.read(zones.near)).isEqualTo("answered");
      assertThat(zones.read(zones.far)).isEqualTo("answered");
      assertThat(zones.steps(zones.far, "cut-both", 20).keySet())
          .containsExactly("answered", "not-run");
      assertWithMessage("the gang continues to run")
          .that(zones.explain("before"))
          .contains("RUNNING");
      zones.platform.setMode(FaultProxy.Mode.CUT);
      zones.nearPeer.setMode(FaultProxy.Mode.CUT);
      zones.platform.setMode(FaultProxy.Mode.PASS);
      zones.nearPeer.setMode(FaultProxy.Mode.PASS);
      zones.cluster.put(zones.far, "/v1/workspaces/after", "{}");
      until("healed", () -> zones.status(zones.near, "/v1/workspaces/after") == 200);
    }
  }

  /**
   * Two zones. The near zone connects to the log, and the far zone to the near one, through proxies
   * that can partition them.
   */
  private final class Zones implements AutoCloseable {
    private final TestCluster cluster = new TestCluster(directory, List.of("z1", "z2"));
    private final FaultProxy platform;
    private final FaultProxy nearPeer;
    private final TestProcess near;
    private final TestProcess far;

    private Zones() throws Exception {
      cluster.startRunner("runner-1", "z1", "refill", 1);
      cluster.startRunner("runner-2", "z2", "refill", 1);
      cluster.startWorker("worker-1", "z1", "rack-1");
      platform = proxy(cluster.logService().port());
      int peerPort = TestCluster.freePort();
      nearPeer = proxy(peerPort);
      near =
          cluster.startReadyEntryBehindProxy(
              "entry-1", "z1", peerPort, nearPeer.port(), "127.0.0.1:" + platform.port());
      far = cluster.startReadyEntry("entry-2", "z2");
      until("both zones", () -> read(near).equals("answered") && read(far).equals("answered"));
    }

    private FaultProxy proxy(int port) {
      InetAddress loopback = InetAddress.getLoopbackAddress();
      return FaultProxy.start(
          group, new InetSocketAddress(loopback, 0), new InetSocketAddress(loopback, port));
    }

    private String read(TestProcess entry) throws Exception {
      return outcome(cluster.get(entry, "/call/refill/read"));
    }

    private String outcome(HttpResponse<String> response) {
      return response.headers().firstValue("Wheatwall-Outcome").orElse("none");
    }

    private Map<String, Integer> steps(TestProcess entry, String prefix, int count)
        throws Exception {
      Map<String, Integer> outcomes = new HashMap<>();
      for (int i = 0; i < count; i++) {
        HttpResponse<String> response =
            cluster.send(
                entry,
                "POST",
                "/call/refill/step",
                "x".getBytes(StandardCharsets.UTF_8),
                "Idempotency-Key",
                prefix + "-" + i,
                "Wheatwall-Deadline-Ms",
                "400");
        outcomes.merge(outcome(response), 1, Integer::sum);
      }
      return outcomes;
    }

    private int status(TestProcess entry, String path) throws Exception {
      return cluster.get(entry, path).statusCode();
    }

    private String explain(String job) throws Exception {
      return cluster.get(near, "/v1/jobs/" + job + "/explain").body();
    }

    @Override
    public void close() {
      platform.close();
      nearPeer.close();
      cluster.close();
    }
  }
}
