package org.wheatwall.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.entry.platform.HttpPlatform;
import org.wheatwall.standin.log.LogStandIn;
import org.wheatwall.standin.proxy.FaultProxy;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;

/**
 * A host whose link to the log needs seconds for the records that it has yet to read. A read that
 * is given up before the whole page is there, and sent again, never completes.
 */
final class ConfigurationServiceSlowLinkTest {
  // The smallest hosts have a link of 7 Mbit/s.
  private static final long LINK_BYTES_PER_SECOND = 875_000;
  private static final int MAX_PAGE_BYTES = 16 * 1024 * 1024;
  private static final int RECORDS = 14;
  private static final int CHANGES_PER_RECORD = 100;
  private static final int LABELS_PER_CHANGE = 32;
  private static final String LABEL_TEXT = "x".repeat(50);
  // The records take 4 s on the link.
  private static final int LIMIT_SECONDS = 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService stateThread = Executors.newSingleThreadScheduledExecutor();
  private LogStandIn log;
  private FaultProxy link;
  private ConfigurationService configuration;

  @BeforeEach
  void start() {
    log =
        LogStandIn.start(
            group, loopback(0), new LogStandIn.Settings(TimeUnit.HOURS.toMillis(1), 1000, 1));
    link = FaultProxy.start(group, loopback(0), loopback(log.port()));
    link.setBytesPerSecondToClients(LINK_BYTES_PER_SECOND);
    configuration =
        new ConfigurationService(
            platform(link.port()),
            MachineClock.SYSTEM,
            stateThread,
            TimeUnit.HOURS.toMillis(1),
            new MetricRegistry());
  }

  @AfterEach
  void stop() {
    configuration.stop();
    link.close();
    log.close();
    stateThread.shutdownNow();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private HttpPlatform platform(int logPort) {
    HttpClient client = new HttpClient(group, MAX_PAGE_BYTES);
    return new HttpPlatform(client, loopback(logPort), loopback(logPort));
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
      changes.add(
          new Change(
              name,
              new ResourceKey(ResourceKind.WORKSPACES, name),
              0,
              -1,
              Optional.of(workspace),
              Optional.empty()));
    }
    return LogRecordCodec.write(LogRecord.ofChanges(changes));
  }

  @Test
  void recordsThatTakeLongerThanAnyReadComeIntoForce() {
    HttpPlatform writer = platform(log.port());
    long bytes = 0;
    for (int i = 0; i < RECORDS; i++) {
      byte[] record = record(i);
      bytes += record.length;
      writer.append(record).join();
    }
    assertThat(bytes).isGreaterThan(LINK_BYTES_PER_SECOND * 5 / 2);
    configuration.start();
    configuration.ready().completeOnTimeout(null, LIMIT_SECONDS, TimeUnit.SECONDS).join();
    assertThat(configuration.nextOffset()).isEqualTo(RECORDS);
  }
}
