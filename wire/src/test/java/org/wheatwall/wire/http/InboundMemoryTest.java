package org.wheatwall.wire.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that make a server hold memory or connections without limit before their
 * calls are admitted, or by not reading responses, and against limits that reject ordinary callers.
 */
final class InboundMemoryTest {
  private static final int MAX_BODY = 64 * 1024;
  private static final int TIMEOUT_MS = 10_000;

  // Small, so that the server raises it to what one largest request takes.
  private static final long MAX_BYTES = 1;
  private static final long RAISED_BYTES = 2L * MAX_BODY + 512 * 1024;
  private static final String SHORT_LINES = "a:\r\n".repeat(2000);
  private static final String GET = "GET /x HTTP/1.1\r\nHost: a\r\n";
  private static final String SLOW = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final String ORDINARY = GET + "Connection: close\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final InboundMemory memory = new InboundMemory(MAX_BYTES, group, MAX_BODY);
  private final List<Socket> sockets = new ArrayList<>();
  private final Queue<CompletableFuture<HttpReply>> delayed = new ConcurrentLinkedQueue<>();
  private HttpServer server;

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void start(ServerLimits limits) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServer.start(group, anyPort, limits, memory, this::reply);
  }

  private CompletableFuture<HttpReply> reply(HttpCall call) {
    if (call.path().equals("/slow")) {
      CompletableFuture<HttpReply> reply = new CompletableFuture<>();
      delayed.add(reply);
      return reply;
    }
    if (call.path().equals("/large")) {
      return CompletableFuture.completedFuture(HttpReply.text(200, "x".repeat(8_000_000)));
    }
    return CompletableFuture.completedFuture(HttpReply.text(200, "fine " + call.body().length));
  }

  private static ServerLimits limits(int connections, int requestTimeoutMs) {
    return new ServerLimits(MAX_BODY, 100, 1 << 20, 1 << 20, connections, requestTimeoutMs);
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(TIMEOUT_MS);
    sockets.add(socket);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static String everythingFrom(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (int c = reader.read(); c >= 0; c = reader.read()) {
        text.append((char) c);
      }
    } catch (IOException e) {
      text.append(e);
    }
    return text.toString();
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.call()) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      Thread.sleep(10);
    }
  }

  private long rejected(RejectionReason reason) {
    return server.rejections(reason);
  }

  private void sendCrowd(String text, int connections) throws IOException {
    for (int i = 0; i < connections; i++) {
      send(text);
    }
  }

  @Test
  void unfinishedHeadersAreEvictedAndOthersServed() throws Exception {
    start(limits(100, TIMEOUT_MS));
    sendCrowd(GET + SHORT_LINES, 20);
    await(() -> rejected(RejectionReason.MEMORY_LIMIT) >= 18);
    assertThat(memory.heldBytes()).isAtMost(RAISED_BYTES);
    assertThat(everythingFrom(send(ORDINARY))).contains("fine");
  }

  @Test
  void unfinishedBodiesAreEvictedAndOthersServed() throws Exception {
    start(limits(100, TIMEOUT_MS));
    String head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + MAX_BODY + "\r\n\r\n";
    sendCrowd(head + "x".repeat(MAX_BODY - 1), 20);
    await(() -> rejected(RejectionReason.MEMORY_LIMIT) >= 8);
    assertThat(memory.heldBytes()).isAtMost(RAISED_BYTES);
    assertThat(everythingFrom(send(ORDINARY))).contains("fine");
  }

  @Test
  void smallChunksAndTrailersTakeNoMoreThanTheirBytes() throws Exception {
    start(limits(100, TIMEOUT_MS));
    String head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(head + "1\r\nx\r\n".repeat(30_000) + "0\r\n" + SHORT_LINES);
    await(() -> memory.heldBytes() > 30_000);
    Thread.sleep(200);
    assertThat(memory.heldBytes()).isAtMost(2L * 32 * 1024 + 16 * 1024);
  }

  @Test
  void requestOfManyShortLinesIsServedInCalm() throws Exception {
    start(limits(100, TIMEOUT_MS));
    assertThat(everythingFrom(send(GET + "Connection: close\r\n" + SHORT_LINES + "\r\n")))
        .contains("fine");
    await(() -> memory.heldBytes() == 0);
    assertThat(rejected(RejectionReason.MEMORY_LIMIT)).isEqualTo(0);
  }

  @Test
  void largestBodyIsServedInCalm() throws Exception {
    start(limits(100, TIMEOUT_MS));
    String head = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + MAX_BODY;
    assertThat(everythingFrom(send(head + "\r\n\r\n" + "x".repeat(MAX_BODY))))
        .contains("fine " + MAX_BODY);
    await(() -> memory.heldBytes() == 0);
  }

  @Test
  void slowCallerWithAnOrdinaryRequestIsNotEvicted() throws Exception {
    start(limits(100, TIMEOUT_MS));
    Socket slow =
        send("POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100\r\n\r\n");
    slow.getOutputStream().write(new byte[50]);
    await(() -> memory.heldBytes() > 0);
    sendCrowd(GET + SHORT_LINES, 20);
    await(() -> rejected(RejectionReason.MEMORY_LIMIT) >= 18);
    slow.getOutputStream().write(new byte[50]);
    assertThat(everythingFrom(slow)).contains("fine 100");
  }

  @Test
  void callBeingHandledIsAnsweredAlthoughRequestsBehindItAreEvicted() throws Exception {
    start(limits(100, TIMEOUT_MS));
    Socket first = send(SLOW + GET + SHORT_LINES);
    await(() -> !delayed.isEmpty() && memory.heldBytes() > 100_000);
    sendCrowd(GET + SHORT_LINES, 20);
    await(() -> rejected(RejectionReason.MEMORY_LIMIT) >= 19);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    assertThat(everythingFrom(first)).contains("late");
  }

  @Test
  void headerLinesOfCallsInFlightAreLimited() throws Exception {
    start(limits(100, TIMEOUT_MS));
    String slow = "GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    sendCrowd(slow + SHORT_LINES + "\r\n", 3);
    await(() -> delayed.size() == 3);
    Socket fourth = send(slow + SHORT_LINES + "\r\n");
    Socket small = send(slow + "\r\n");
    await(() -> rejected(RejectionReason.CALL_LIMIT) == 1 && delayed.size() == 4);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    assertThat(everythingFrom(small)).contains("late");
    fourth.setSoTimeout(200);
    String refusal = everythingFrom(fourth);
    assertThat(refusal).contains(" 503 ");
    assertThat(refusal.toLowerCase(java.util.Locale.ROOT)).contains("retry-after: 1");
  }

  /** Callers that leave at once would otherwise fill the queues of handlers one after another. */
  @Test
  void callsOfCallersThatHaveGoneStayLimitedUntilTheirHandlersFinish() throws Exception {
    start(limits(100, TIMEOUT_MS));
    String slow = "GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + SHORT_LINES + "\r\n";
    for (int round = 0; round < 10; round++) {
      long abandoned = server.abandonedCalls();
      long refused = rejected(RejectionReason.CALL_LIMIT);
      Socket leaving = send(slow);
      await(() -> delayed.size() > abandoned || rejected(RejectionReason.CALL_LIMIT) > refused);
      leaving.close();
      await(() -> server.openConnections() == 0);
    }
    assertThat(delayed).hasSize(5);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    Socket later = send(slow);
    await(() -> delayed.size() == 6);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    assertThat(everythingFrom(later)).contains("late");
  }

  @Test
  void requestThatDoesNotArriveInTimeIsRefused() throws Exception {
    start(limits(100, 300));
    Socket stalled = send(GET + "b: c\r\n");
    assertThat(everythingFrom(stalled)).contains(" 503 ");
    assertThat(rejected(RejectionReason.REQUEST_TIMEOUT)).isEqualTo(1);
  }

  @Test
  void connectionsWithoutCallsAreClosedForNewOnes() throws Exception {
    start(limits(10, TIMEOUT_MS));
    Socket waiting = send("GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    await(() -> !delayed.isEmpty());
    sendCrowd("", 12);
    sendCrowd("G", 12);
    assertThat(everythingFrom(send(ORDINARY))).contains("fine");
    assertThat(server.openConnections()).isAtMost(10);
    assertThat(rejected(RejectionReason.CONNECTION_LIMIT)).isGreaterThan(10);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    assertThat(everythingFrom(waiting)).contains("late");
  }

  @Test
  void responsesThatAreNotReadAreEvicted() throws Exception {
    start(limits(100, TIMEOUT_MS));
    sendCrowd("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 5);
    await(() -> rejected(RejectionReason.MEMORY_LIMIT) == 5);
    assertThat(everythingFrom(send(ORDINARY))).contains("fine");
  }

  @Test
  void requestsBeforeThePipelineLimitAreAnswered() throws Exception {
    start(limits(100, TIMEOUT_MS));
    Socket socket = send(SLOW + (GET + "\r\n").repeat(60));
    await(() -> rejected(RejectionReason.PIPELINE_LIMIT) == 1);
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    String responses = everythingFrom(socket);
    assertThat(responses).contains("late");
    assertThat(responses.split("fine", -1).length - 1).isEqualTo(16);
  }

  @Test
  void malformedRequestBehindAnotherIsAnsweredInOrder() throws Exception {
    start(limits(100, TIMEOUT_MS));
    Socket socket = send(SLOW + "\u0001 nothing\r\n\r\n");
    await(() -> !delayed.isEmpty());
    delayed.forEach(reply -> reply.complete(HttpReply.text(200, "late")));
    String responses = everythingFrom(socket);
    assertThat(responses.indexOf("late")).isLessThan(responses.indexOf(" 400 "));
    assertThat(responses).contains("late");
  }
}
