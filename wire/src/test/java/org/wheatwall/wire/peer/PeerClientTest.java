package org.wheatwall.wire.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.message.StepAsk;

/** A request ends with a reply or a {@link Refusal}, whenever its connection is closed. */
final class PeerClientTest {
  private static final EventLoopGroup GROUP =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private static final int REQUESTS = 3000;
  private static final int TIMEOUT_MS = 2000;

  @AfterAll
  static void stop() {
    GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Thread resetEveryConnection(ServerSocket server) {
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  socket.setSoLinger(true, 0);
                } catch (IOException closed) {
                  return;
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Test
  void aPeerThatResetsEveryConnectionIsUnavailableEachTime() throws Exception {
    PeerClient client = new PeerClient(GROUP, PeerIdentity.getDefaultInstance(), "key");
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread resetting = resetEveryConnection(server);
      String address = "127.0.0.1:" + server.getLocalPort();
      for (int i = 0; i < REQUESTS; i++) {
        Envelope.Builder request =
            Envelope.newBuilder().setStepAsk(StepAsk.newBuilder().setKey("key-" + i));
        assertWithMessage("request " + i)
            .that(failure(client, address, request))
            .isInstanceOf(Refusal.class);
      }
      assertThat(resetting.isAlive()).isTrue();
    }
    client.close();
  }

  private static Throwable failure(PeerClient client, String address, Envelope.Builder request) {
    try {
      client.send(address, request, TIMEOUT_MS).join();
      throw new AssertionError("expected the request to fail");
    } catch (CompletionException failure) {
      return failure.getCause();
    }
  }
}
