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

/** Which peer serves a forwarded call, and whether the call may have run if none does. */
final class PeerRelayTest {
  private static final int DEADLINE_MS = 2000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<LogContent.Host> peers = new ArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private final PeerRelay relay =
      new PeerRelay(
          new HttpClient(group, 1024, 2, ResponseMatching.BY_ORDER),
          () -> peers,
          MachineClock.SYSTEM);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void addPeer(CompletableFuture<HttpReply> response) {
    HttpServer server =
        HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1024,
            call -> {
              calls.incrementAndGet();
              return response;
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

  private PeerRelay.Outcome forward() {
    return relay
        .forward(
            HttpCall.of("POST", "/queue/1", "{}"),
            reply -> reply.status() != 503 && reply.status() != 504,
            reply -> reply.status() != 503,
            MachineClock.SYSTEM.nowMs() + DEADLINE_MS)
        .join();
  }

  @Test
  void withoutPeersTheCallHasNotRun() {
    PeerRelay.Outcome outcome = forward();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  @Test
  void theFirstPeerThatCanServeAnswers() throws IOException {
    addClosedPeer();
    addPeer(503);
    addPeer(200);
    PeerRelay.Outcome outcome = forward();
    assertThat(outcome.reply().orElseThrow().status()).isEqualTo(200);
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  @Test
  void ifAllPeersRefuseTheCallHasNotRun() throws IOException {
    addClosedPeer();
    addPeer(503);
    PeerRelay.Outcome outcome = forward();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isFalse();
  }

  // Reporting "not run" here would be wrong, since the peer may be writing the job to the log.
  @Test
  void aPeerThatDoesNotRespondMayHaveRunTheCall() {
    addPeer(new CompletableFuture<>());
    PeerRelay.Outcome outcome = forward();
    assertThat(outcome.reply()).isEmpty();
    assertThat(outcome.mayHaveRun()).isTrue();
  }

  @Test
  void noOtherPeerIsTriedIfTheOutcomeIsUnknown() {
    addPeer(504);
    addPeer(504);
    PeerRelay.Outcome outcome = forward();
    assertThat(outcome.mayHaveRun()).isTrue();
    assertThat(calls.get()).isEqualTo(1);
  }

  // In an outage of the whole store every host forwards its calls: each call tries few peers, and
  // soon none.
  @Test
  void peersThatCannotServeAreSkippedForAWhile() {
    for (int i = 0; i < 5; i++) {
      addPeer(503);
    }
    forward();
    assertThat(calls.get()).isEqualTo(3);
    forward();
    assertThat(calls.get()).isEqualTo(5);
    forward();
    assertThat(calls.get()).isEqualTo(5);
  }
}
