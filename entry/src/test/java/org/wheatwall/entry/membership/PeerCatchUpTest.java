package org.wheatwall.entry.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.platform.LogService;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.SnapshotPage;
import org.wheatwall.wire.message.SnapshotPull;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.peer.PeerServer;
import org.wheatwall.wire.platform.LogPage;

/**
 * The configuration passes between hosts in pages, of which only those that failed are repeated.
 */
final class PeerCatchUpTest {
  private static final String KEY = "key";
  private static final int RECORDS = 3;
  private static final int RECORDS_ABOVE_FRAME_LIMIT = 24;
  private static final int CHANGES_PER_RECORD = 100;
  private static final int LABELS_PER_CHANGE = 32;
  private static final String LABEL_TEXT = "x".repeat(50);
  private static final int LIMIT_SECONDS = 10;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService stateThread = Executors.newSingleThreadScheduledExecutor();
  private final List<Long> requests = Collections.synchronizedList(new ArrayList<>());
  private final PeerClient peers = new PeerClient(group, PeerIdentity.getDefaultInstance(), KEY);
  private final List<PeerServer> servers = new ArrayList<>();

  @AfterEach
  void stop() {
    stateThread.shutdownNow();
    peers.close();
    servers.forEach(PeerServer::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** A log of unchanging records; without records it is down. */
  private record FixedLog(List<String> records) implements LogService {
    @Override
    public CompletableFuture<Long> append(byte[] record) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit, long waitMs) {
      if (records.isEmpty()) {
        return CompletableFuture.failedFuture(
            new Refusal(RefusalKind.UNAVAILABLE, "log outage", "repeat later"));
      }
      List<LogPage.Entry> entries = new ArrayList<>();
      for (int i = (int) from; i < records.size(); i++) {
        entries.add(new LogPage.Entry(i, 0, records.get(i)));
      }
      return entries.isEmpty()
          ? new CompletableFuture<>()
          : CompletableFuture.completedFuture(new LogPage(0, records.size(), entries));
    }
  }

  private static String record(int number) {
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
    return new String(LogRecordCodec.write(LogRecord.ofChanges(changes)), StandardCharsets.UTF_8);
  }

  private ConfigurationService startConfiguration(int records) {
    List<String> content = new ArrayList<>();
    for (int i = 0; i < records; i++) {
      content.add(record(i));
    }
    ConfigurationService configuration =
        new ConfigurationService(
            new FixedLog(content),
            MachineClock.SYSTEM,
            stateThread,
            TimeUnit.HOURS.toMillis(1),
            new MetricRegistry());
    configuration.start();
    if (records > 0) {
      configuration.ready().orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }
    return configuration;
  }

  private interface Source {
    CompletableFuture<SnapshotPage.Builder> pull(SnapshotPull pull);
  }

  private Member startSource(Source source) {
    PeerServer server =
        PeerServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            KEY,
            request -> {
              requests.add(request.getSnapshotPull().getNewerThan());
              return source
                  .pull(request.getSnapshotPull())
                  .thenApply(page -> Envelope.newBuilder().setSnapshotPage(page));
            });
    servers.add(server);
    return new Member("source", 1, "127.0.0.1:" + server.port());
  }

  private boolean catchesUpFrom(Member member) {
    ConfigurationService configuration = startConfiguration(0);
    PeerCatchUp catchUp = new PeerCatchUp(configuration, peers, stateThread, MachineClock.SYSTEM);
    stateThread.scheduleAtFixedRate(
        () -> catchUp.onLogPosition(member, RECORDS), 0, 20, TimeUnit.MILLISECONDS);
    configuration.ready().completeOnTimeout(null, LIMIT_SECONDS, TimeUnit.SECONDS).join();
    return configuration.nextOffset() == RECORDS;
  }

  @Test
  void onlyThePageThatFailedIsRequestedAgain() {
    SnapshotPages pages = new SnapshotPages(startConfiguration(RECORDS), MachineClock.SYSTEM);
    SnapshotPosition failing = new SnapshotPosition(RECORDS, 2);
    Member source =
        startSource(
            pull ->
                pull.getNewerThan() == failing.number()
                        && Collections.frequency(requests, failing.number()) == 1
                    ? CompletableFuture.failedFuture(Refusal.invalid("lost", "repeat"))
                    : pages.pull(pull));
    assertThat(catchesUpFrom(source)).isTrue();
    assertThat(new HashSet<>(requests).size()).isGreaterThan(4);
    List<Long> repeated = new ArrayList<>(requests);
    new HashSet<>(requests).forEach(repeated::remove);
    assertThat(repeated).containsExactly(failing.number());
  }

  @Test
  void aHostThatKnowsNoPagesSendsTheWholeSnapshot() {
    ConfigurationService configuration = startConfiguration(RECORDS);
    Member source =
        startSource(
            pull ->
                configuration
                    .snapshotNewerThan(pull.getNewerThan())
                    .thenApply(
                        snapshot -> {
                          SnapshotPage.Builder page = SnapshotPage.newBuilder();
                          snapshot.ifPresent(
                              newest ->
                                  page.setNextOffset(newest.nextOffset())
                                      .setContent(
                                          ByteString.copyFrom(
                                              Json.bytes(LogRecordCodec.writeSnapshot(newest)))));
                          return page;
                        }));
    assertThat(catchesUpFrom(source)).isTrue();
  }

  @Test
  void aRequesterThatKnowsNoPagesReceivesTheWholeSnapshot() {
    SnapshotPages pages = new SnapshotPages(startConfiguration(RECORDS), MachineClock.SYSTEM);
    SnapshotPage page = pages.pull(SnapshotPull.getDefaultInstance()).join().build();
    assertThat(page.getNextOffset()).isEqualTo(RECORDS);
    assertThat(
            LogRecordCodec.readSnapshot(Json.tree(page.getContent().toByteArray()))
                .objects()
                .size())
        .isEqualTo(RECORDS * CHANGES_PER_RECORD);
  }

  @Test
  void aWholeSnapshotAboveTheLimitOfAMessageIsRefused() {
    SnapshotPages pages =
        new SnapshotPages(startConfiguration(RECORDS_ABOVE_FRAME_LIMIT), MachineClock.SYSTEM);
    CompletionException failure =
        assertThrows(
            CompletionException.class, () -> pages.pull(SnapshotPull.getDefaultInstance()).join());
    assertThat(((Refusal) failure.getCause()).kind()).isEqualTo(RefusalKind.TOO_LARGE);
  }
}
