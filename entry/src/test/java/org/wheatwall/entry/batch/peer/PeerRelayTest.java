package org.wheatwall.entry.batch.peer;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.http.ResponseMatching;

/** A call that is passed on: which peer answers, and what stays open if none does. */
final class PeerRelayTest {
  private static final int TIME_MS = 2000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<LogContent.Host> peers = new ArrayList<>();
  private final AtomicInteger asked = new AtomicInteger();
  private final PeerRelay relay =
      new PeerRelay(
          new HttpClient(group, 1024, 2, ResponseMatching.BY_ORDER),
          () -> peers,
          MachineClock.SYSTEM);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void addPeer(CompletableFuture<HttpReply> answer) {
    HttpServer server =
        HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1024,
            call -> {
              asked.incrementAndGet();
              return answer;
            });
    peers.add(new LogContent.Host("127.0.0.1:" + server.port(), "zone"));
  }

  private void addPeer(int status) {
    addPeer(CompletableFuture.completedFuture(HttpReply.empty(status)));
  }

  private void addClosedPeer() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      peers.add(new LogContent.Host("127.0.0.1:" + socket.getLocalPort(), "zone"));
    }
  }

  private PeerRelay.Outcome pass() {
    return relay
        .pass(
            HttpCall.of("POST", "/queue/1", "{}"),
            reply -> reply.status() != 503 && reply.status() != 504,
            reply -> reply.status() != 503,
            MachineClock.SYSTEM.nowMs() + TIME_MS)
        .join();
  }

  @Test
  void withoutPeersNothingHasRun() {
    PeerRelay.Outcome outcome = pass();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  @Test
  void theFirstPeerThatCanServeAnswers() throws IOException {
    addClosedPeer();
    addPeer(503);
    addPeer(200);
    PeerRelay.Outcome outcome = pass();
    assertThat(outcome.reply().orElseThrow().status()).isEqualTo(200);
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  @Test
  void refusalsByAllPeersLeaveNothingOpen() throws IOException {
    addClosedPeer();
    addPeer(503);
    PeerRelay.Outcome outcome = pass();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  // The naive version says "not run" here, though the peer may be writing the job down.
  @Test
  void aPeerThatStaysSilentMayHaveCarriedTheCallOut() {
    addPeer(new CompletableFuture<>());
    PeerRelay.Outcome outcome = pass();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isTrue();
  }

  @Test
  void aPeerWithoutAVerdictLeavesItOpenAndNoOtherIsAsked() {
    addPeer(504);
    addPeer(504);
    PeerRelay.Outcome outcome = pass();
    assertThat(outcome.mayHaveRun()).isTrue();
    assertThat(asked.get()).isEqualTo(1);
  }

  // In an outage of the whole store every host passes on: each call asks few, and soon none.
  @Test
  void peersThatCannotServeAreLeftOutForATime() {
    for (int i = 0; i < 5; i++) {
      addPeer(503);
    }
    pass();
    assertThat(asked.get()).isEqualTo(3);
    pass();
    assertThat(asked.get()).isEqualTo(5);
    pass();
    assertThat(asked.get()).isEqualTo(5);
  }
}
