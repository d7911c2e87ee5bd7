package org.wheatwall.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.entry.platform.HttpPlatform;
import org.wheatwall.standin.common.FaultMode;
import org.wheatwall.standin.list.HostListStandIn;
import org.wheatwall.standin.log.LogStandIn;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.platform.ListedHost;

/**
 * A host that starts while the log is down fetches the configuration from another host over a link
 * that needs seconds for it. A request that is given up before the whole snapshot is there, and
 * sent again, never completes.
 */
final class PeerSnapshotSlowLinkTest {
  // The smallest hosts have a link of 7 Mbit/s.
  private static final long LINK_BYTES_PER_SECOND = 875_000;
  private static final String ZONE = "z1";
  private static final int CHANGES_PER_RECORD = 100;
  private static final int LABELS_PER_CHANGE = 32;
  private static final String LABEL_TEXT = "x".repeat(50);
  private static final int RECORD_BYTES = 220_000;
  private static final int FRAME_LIMIT_BYTES = 4 * 1024 * 1024;
  // The larger snapshot takes 6 s on the link.
  private static final int LIMIT_SECONDS = 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  private final List<EntryHost> hosts = new ArrayList<>();
  private LogStandIn log;
  private HostListStandIn list;
  private FaultProxy link;

  @BeforeEach
  void start() {
    log =
        LogStandIn.start(
            group, loopback(0), new LogStandIn.Settings(TimeUnit.HOURS.toMillis(1), 1000, 1));
    list = HostListStandIn.start(group, loopback(0), 0);
  }

  @AfterEach
  void stop() {
    hosts.forEach(EntryHost::close);
    link.close();
    list.close();
    log.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private EntryHost startHost(String name, int peerPort, int advertisedPort) {
    list.put(ListedHost.entry(name, ZONE, "127.0.0.1:" + advertisedPort));
    EntrySettings settings =
        new EntrySettings(
            name,
            ZONE,
            List.of(ZONE),
            new EntrySettings.Listen(loopback(0), loopback(peerPort), loopback(advertisedPort)),
            new EntrySettings.Platform(loopback(log.port()), loopback(list.port()), 3_600_000, 100),
            "key",
            new EntrySettings.Tokens(List.of(), List.of(), List.of(), Map.of()),
            new EntrySettings.Requests(1_000_000, 1000, 5000, 60_000),
            new EntrySettings.Jobs(60_000, 60_000, 100));
    EntryHost host = EntryHost.start(settings, group);
    hosts.add(host);
    return host;
  }

  private static byte[] record(int number) {
    Map<String, String> labels = new TreeMap<>();
    for (int i = 0; i < LABELS_PER_CHANGE; i++) {
      labels.put("label-" + i, LABEL_TEXT);
    }
    Workspace workspace = new Workspace(new Labels(labels), 0, 1, 0);
    List<Change> changes = new ArrayList<>();
    for (int i = 0; i < CHANGES_PER_RECORD; i++) {
      String name = "workspace-" + number + "-" + i;
      ResourceKey key = new ResourceKey(ResourceKind.WORKSPACES, name);
      changes.add(new Change(name, key, 0, -1, Optional.of(workspace), Optional.empty()));
    }
    return LogRecordCodec.write(LogRecord.ofChanges(changes));
  }

  private void appendConfiguration(int bytes) {
    HttpPlatform writer =
        new HttpPlatform(new HttpClient(group, 1000), loopback(log.port()), loopback(list.port()));
    for (int i = 0; i < bytes / RECORD_BYTES; i++) {
      writer.append(record(i)).join();
    }
  }

  private boolean becomesReadyFromPeer(int bytes) throws Exception {
    int sourcePort = freePort();
    link = FaultProxy.start(group, loopback(0), loopback(sourcePort));
    appendConfiguration(bytes);
    EntryHost source = startHost("source", sourcePort, link.port());
    source.ready().orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
    log.setFault(new FaultMode(true, 0, 0));
    link.setBytesPerSecondToClients(LINK_BYTES_PER_SECOND);
    int port = freePort();
    EntryHost host = startHost("started-late", port, port);
    host.ready().completeOnTimeout(null, LIMIT_SECONDS, TimeUnit.SECONDS).join();
    long nextOffset = (Long) host.metrics().gauge("configuration.next-offset").getValue();
    return nextOffset >= bytes / RECORD_BYTES;
  }

  @Test
  void aSmallSnapshotComesIntoForce() throws Exception {
    assertThat(becomesReadyFromPeer(RECORD_BYTES)).isTrue();
  }

  @Test
  void aSnapshotThatTakesLongerThanARequestComesIntoForce() throws Exception {
    assertThat(becomesReadyFromPeer(FRAME_LIMIT_BYTES * 4 / 5)).isTrue();
  }

  @Test
  void aSnapshotAboveTheLimitOfAFrameComesIntoForce() throws Exception {
    assertThat(becomesReadyFromPeer(FRAME_LIMIT_BYTES * 5 / 4)).isTrue();
  }
}
