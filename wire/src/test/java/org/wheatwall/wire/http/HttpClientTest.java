package org.wheatwall.wire.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

/** A call ends with a response or an {@link HttpFailure}, whenever its connection is closed. */
final class HttpClientTest {
  private static final EventLoopGroup GROUP =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int CALLS = 8000;
  private static final int TIMEOUT_MS = 2000;
  private static final int MAX_RESET_DELAY_NANOS = 100_000;

  @AfterAll
  static void stop() {
    GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // Responds to one call on each connection without announcing a close, then resets it.
  private static void respondAndReset(ServerSocket server) {
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  socket.setSoLinger(true, 0);
                  readRequest(socket.getInputStream());
                  socket.getOutputStream().write(RESPONSE);
                  // Delayed so that the reset happens while the next call picks this connection.
                  LockSupport.parkNanos(ThreadLocalRandom.current().nextInt(MAX_RESET_DELAY_NANOS));
                } catch (IOException closed) {
                  // The client may have closed first; continue with the next connection.
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void readRequest(InputStream input) throws IOException {
    int endOfHead = 0;
    while (endOfHead < 4) {
      int next = input.read();
      if (next < 0) {
        return;
      }
      boolean expected = next == (endOfHead % 2 == 0 ? '\r' : '\n');
      endOfHead = expected ? endOfHead + 1 : 0;
    }
  }

  // Sends a response in parts, with a pause before each, and then stalls if it is incomplete.
  private static void respondInParts(ServerSocket server, int parts, int total, int pauseMs) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                readRequest(socket.getInputStream());
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + total + "\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < parts; i++) {
                  LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMs));
                  socket.getOutputStream().write('x');
                }
                readRequest(socket.getInputStream());
              } catch (IOException closed) {
                // The client gave up.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static CompletableFuture<HttpReply> callInParts(int parts, CallTimeout timeout)
      throws IOException {
    HttpClient client = new HttpClient(GROUP, 1024, 4, ResponseMatching.BY_ORDER);
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    respondInParts(server, parts, 8, 150);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    return client.send(address, HttpCall.of("GET", "/"), "", timeout, () -> {});
  }

  @Test
  void aResponseThatMakesProgressIsNotGivenUp() throws Exception {
    HttpReply reply = callInParts(8, new CallTimeout(500, 500, 10_000)).get(5, TimeUnit.SECONDS);
    assertThat(reply.text()).hasLength(8);
  }

  @Test
  void aResponseThatStallsIsGivenUpAfterItsLastProgress() throws Exception {
    HttpFailure failure = failureOf(callInParts(3, new CallTimeout(500, 500, 10_000)));
    assertThat(failure.kind()).isEqualTo(HttpFailure.Kind.LOST);
    assertThat(failure.receivedBytes()).isGreaterThan(3L);
  }

  @Test
  void aResponseThatMakesProgressForTooLongIsGivenUp() throws Exception {
    HttpFailure failure = failureOf(callInParts(8, new CallTimeout(500, 500, 600)));
    assertThat(failure.kind()).isEqualTo(HttpFailure.Kind.LOST);
  }

  private static HttpFailure failureOf(CompletableFuture<HttpReply> call) {
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> call.get(5, TimeUnit.SECONDS));
    return (HttpFailure) failure.getCause();
  }

  @Test
  void serverClosingIdleConnectionsCausesTypedFailures() throws Exception {
    HttpClient client = new HttpClient(GROUP, 1024, 4, ResponseMatching.BY_ORDER);
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      respondAndReset(server);
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
      for (int i = 0; i < CALLS; i++) {
        CompletableFuture<HttpReply> call =
            client.send(address, HttpCall.of("GET", "/"), "call-" + i, TIMEOUT_MS);
        try {
          call.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
          assertThat(failure.getCause()).isInstanceOf(HttpFailure.class);
        }
      }
    }
  }
}
