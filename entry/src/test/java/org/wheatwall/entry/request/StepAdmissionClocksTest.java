package org.wheatwall.entry.request;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
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
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.decision.StepLedger;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.StepState;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.entry.configuration.ConfigurationService;
import org.wheatwall.entry.membership.MembershipService;
import org.wheatwall.entry.platform.HostDirectory;
import org.wheatwall.entry.platform.HttpPlatform;
import org.wheatwall.standin.log.LogStandIn;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;
import org.wheatwall.wire.message.KeptAnswer;
import org.wheatwall.wire.message.LedgerPull;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.StepFinish;
import org.wheatwall.wire.message.StepReply;
import org.wheatwall.wire.peer.PeerClient;

/**
 * The only host of a zone whose earlier hosts were all lost, and whose time of day is set. A step
 * that may have run before the loss must not run again, and what is known of steps is kept.
 */
final class StepAdmissionClocksTest {
  private static final String ZONE = "zone-a";
  private static final long MINUTE_MS = 60_000;
  private static final long JUMP_MS = 5 * MINUTE_MS;
  private static final long RETENTION_MS = 10 * MINUTE_MS;
  private static final long LONGEST_ATTEMPT_MS = 30_000;
  private static final long LIMIT_MS = 10_000;
  private static final int MAX_PAGE_BYTES = 1024 * 1024;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService stateThread = Executors.newSingleThreadScheduledExecutor();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final SettableClock clock = new SettableClock();
  private final Member self = new Member("host-1", 2, "127.0.0.1:1");
  private LogStandIn log;
  private ConfigurationService configuration;
  private MembershipService membership;
  private StepAdmissionService steps;

  /** A clock whose time of day can be set. */
  private static final class SettableClock implements Clock {
    private volatile long wallAheadMs;

    @Override
    public long nowMs() {
      return MachineClock.SYSTEM.nowMs();
    }

    @Override
    public long wallMs() {
      return trueMs() + wallAheadMs;
    }

    private static long trueMs() {
      return MachineClock.SYSTEM.wallMs();
    }
  }

  @BeforeEach
  void start() {
    log = LogStandIn.start(group, loopback(0), LogStandIn.Settings.DEFAULT);
    HttpPlatform platform =
        new HttpPlatform(
            new HttpClient(group, MAX_PAGE_BYTES), loopback(log.port()), loopback(log.port()));
    MetricRegistry metrics = new MetricRegistry();
    configuration =
        new ConfigurationService(platform, clock, stateThread, TimeUnit.HOURS.toMillis(1), metrics);
    HostDirectory directory = new HostDirectory(platform, stateThread, 1000);
    PeerClient peers = new PeerClient(group, PeerIdentity.getDefaultInstance(), "key");
    membership =
        new MembershipService(
            self, ZONE, clock, stateThread, configuration, directory, peers, metrics);
    steps =
        new StepAdmissionService(
            clock, RETENTION_MS, LONGEST_ATTEMPT_MS, membership, peers, timer, metrics);
    membership.addListener(steps);
    platform
        .append(LogRecordCodec.write(LogRecord.ofChanges(List.of(viewWithoutPrevious()))))
        .join();
  }

  @AfterEach
  void stop() {
    configuration.stop();
    log.close();
    stateThread.shutdownNow();
    timer.shutdownNow();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private Change viewWithoutPrevious() {
    Member lost = new Member("host-1", 1, self.address());
    ZoneView view = new ZoneView(Labels.NONE, List.of(self), List.of(lost), false);
    return new Change(
        "view",
        new ResourceKey(ResourceKind.VIEWS, ZONE),
        0,
        -1,
        Optional.of(view),
        Optional.empty());
  }

  private void joinZone() throws InterruptedException {
    membership.start();
    configuration.start();
    long startMs = clock.nowMs();
    while (!membership.status().mayAct(clock) || coveredSinceMs() == Long.MAX_VALUE) {
      assertThat(clock.nowMs() - startMs).isLessThan(LIMIT_MS);
      Thread.sleep(10);
    }
  }

  private long coveredSinceMs() {
    return steps
        .onLedgerPull(LedgerPull.getDefaultInstance())
        .join()
        .getLedgerPage()
        .getCoveredSinceMs();
  }

  private StepReply.Leave request(String key, long issuedMs) {
    return steps
        .decide(key, membership.status().epoch(), new GrantId("request", 1), Optional.of(issuedMs))
        .join()
        .getLeave();
  }

  @Test
  void stepIssuedBeforeTheLossDoesNotRunAgainAfterSlowClockIsCorrected() throws Exception {
    clock.wallAheadMs = -JUMP_MS;
    joinZone();
    clock.wallAheadMs = 0;
    long beforeLossMs = SettableClock.trueMs() - MINUTE_MS;
    assertThat(request("before", beforeLossMs)).isEqualTo(StepReply.Leave.UNKNOWN);
    assertThat(request("after", SettableClock.trueMs() + MINUTE_MS)).isEqualTo(StepReply.Leave.RUN);
  }

  @Test
  void stepIssuedBeforeTheLossDoesNotRunAgainAfterClockIsSetBack() throws Exception {
    joinZone();
    clock.wallAheadMs = -JUMP_MS;
    assertThat(coveredSinceMs()).isNotEqualTo(StepLedger.SINCE_BEGINNING);
    long beforeLossMs = SettableClock.trueMs() - MINUTE_MS;
    assertThat(request("before", beforeLossMs)).isEqualTo(StepReply.Leave.UNKNOWN);
  }

  private StepState stateOf(String key) {
    return steps
        .onLedgerPull(LedgerPull.newBuilder().setLimit(10).build())
        .join()
        .getLedgerPage()
        .getEntriesList()
        .stream()
        .filter(entry -> entry.getKey().equals(key))
        .map(entry -> StepState.ofNumber(entry.getState()))
        .findFirst()
        .orElseThrow(() -> new AssertionError(key + " is forgotten"));
  }

  @Test
  void answerIsKeptWhenClockIsSetAhead() throws Exception {
    joinZone();
    long issuedMs = SettableClock.trueMs() + MINUTE_MS;
    assertThat(request("key", issuedMs)).isEqualTo(StepReply.Leave.RUN);
    steps
        .onFinish(
            StepFinish.newBuilder()
                .setKey("key")
                .setGrantId(new GrantId("request", 1).text())
                .setState(StepState.ANSWERED.number())
                .setAnswer(KeptAnswer.newBuilder().setStatus(200))
                .build())
        .join();
    clock.wallAheadMs = RETENTION_MS + JUMP_MS;
    steps.tick();
    assertThat(stateOf("key")).isEqualTo(StepState.ANSWERED);
    assertThat(request("key", issuedMs)).isEqualTo(StepReply.Leave.KEPT);
  }

  @Test
  void stepInProgressIsNotUnknownWhenClockIsSetAhead() throws Exception {
    joinZone();
    long issuedMs = SettableClock.trueMs() + MINUTE_MS;
    assertThat(request("key", issuedMs)).isEqualTo(StepReply.Leave.RUN);
    clock.wallAheadMs = JUMP_MS;
    assertThat(request("key", issuedMs)).isEqualTo(StepReply.Leave.IN_PROGRESS);
  }
}
