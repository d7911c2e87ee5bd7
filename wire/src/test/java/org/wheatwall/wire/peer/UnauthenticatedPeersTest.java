package org.wheatwall.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.wire.http.RejectionReason;
import org.wheatwall.wire.http.Rejections;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.Retire;

/**
 * Guards against connections to the port of entry hosts that hold memory or descriptors without
 * proving the key.
 */
final class UnauthenticatedPeersTest {
  private static final int TIMEOUT_MS = 5000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerServer server() {
    return PeerServer.start(
        group,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        "key",
        request -> CompletableFuture.completedFuture(Envelope.newBuilder()));
  }

  @Test
  void largeFrameBeforeTheKeyClosesItsConnection() throws Exception {
    PeerServer server = server();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(1_000_000).array());
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(server.rejections(RejectionReason.MALFORMED)).isEqualTo(1);
    server.close();
  }

  @Test
  void largeFramesAreAcceptedAfterTheKey() {
    PeerServer server = server();
    PeerIdentity self = PeerIdentity.newBuilder().setName("x".repeat(100)).build();
    PeerClient peer = new PeerClient(group, self, "key");
    Envelope.Builder large =
        Envelope.newBuilder()
            .setRetire(
                Retire.newBuilder()
                    .setSender(PeerIdentity.newBuilder().setName("y".repeat(100_000))));
    assertThat(peer.send("127.0.0.1:" + server.port(), large, TIMEOUT_MS).join()).isNotNull();
    server.close();
  }

  @Test
  void manySilentConnectionsDoNotKeepPeersOut() throws Exception {
    PeerServer server = server();
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      silent.add(new Socket(InetAddress.getLoopbackAddress(), server.port()));
    }
    PeerClient peer = new PeerClient(group, PeerIdentity.getDefaultInstance(), "key");
    Envelope.Builder request = Envelope.newBuilder().setRetire(Retire.getDefaultInstance());
    assertThat(peer.send("127.0.0.1:" + server.port(), request, TIMEOUT_MS).join()).isNotNull();
    assertThat(server.rejections(RejectionReason.CONNECTION_LIMIT)).isAtLeast(44);
    for (Socket socket : silent) {
      socket.close();
    }
    server.close();
  }

  @Test
  void connectionWithoutAKeyIsClosedAfterTheTimeout() {
    Rejections rejections = new Rejections();
    UnauthenticatedConnections connections =
        new UnauthenticatedConnections(10, TIMEOUT_MS, rejections);
    EmbeddedChannel silent = new EmbeddedChannel();
    EmbeddedChannel authenticated = new EmbeddedChannel();
    connections.add(silent);
    connections.add(authenticated);
    connections.remove(authenticated);
    silent.advanceTimeBy(TIMEOUT_MS + 1, TimeUnit.MILLISECONDS);
    silent.runScheduledPendingTasks();
    authenticated.advanceTimeBy(TIMEOUT_MS + 1, TimeUnit.MILLISECONDS);
    authenticated.runScheduledPendingTasks();
    assertThat(silent.isOpen()).isFalse();
    assertThat(authenticated.isOpen()).isTrue();
    assertThat(rejections.count(RejectionReason.REQUEST_TIMEOUT)).isEqualTo(1);
  }
}
