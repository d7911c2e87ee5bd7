package org.wheatwall.app.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.gang.model.TaskPhase;
import org.wheatwall.core.gang.model.TaskReport;
import org.wheatwall.core.gang.model.WorkerOperation;
import org.wheatwall.core.gang.model.WorkerReport;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.Heartbeat;
import org.wheatwall.wire.message.HeartbeatReply;
import org.wheatwall.wire.message.PeerIdentity;
import org.wheatwall.wire.peer.PeerClient;
import org.wheatwall.wire.peer.PeerServer;
import org.wheatwall.wire.platform.WorkerExchange;

/** Measures messages between processes: their bytes and the processor time of both ends. */
final class MessageBench {
  private static final int[] COUNTS = {1000, 2000, 4000, 8000};
  private static final int[] TASK_COUNTS = {0, 2, 4, 8, 16};
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final int IN_FLIGHT = 8;
  private static final int HTTP_HEADER_BYTES = 160;
  private static final long VERSION = 1_790_000_000_000_123L;
  private static final WorkerReport UNCHANGED =
      new WorkerReport(
          "worker-1", 123_456_789, 123_456, Optional.empty(), List.of(), VERSION, true);

  private MessageBench() {}

  static List<Slope> run() {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      List<Slope> slopes = new ArrayList<>();
      slopes.add(
          Slope.of("worker exchange, both ways", "task on the worker", "B", exchangeBytes()));
      slopes.add(
          Slope.of(
              "worker exchange, nothing changed", "task on the worker", "B", unchangedBytes()));
      slopes.add(
          Slope.of("heartbeat and reply, both ends", "exchange", "us cpu", heartbeats(group)));
      slopes.add(
          Slope.of(
              "worker exchange of 5 tasks, both ends",
              "exchange",
              "us cpu",
              exchanges(group, exchange(5), report(5))));
      slopes.add(
          Slope.of(
              "worker exchange, nothing changed, both ends",
              "exchange",
              "us cpu",
              exchanges(group, renewal(), UNCHANGED)));
      return slopes;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Returns the size of a heartbeat and its reply, bytes. */
  static int heartbeatBytes() {
    return heartbeat().build().getSerializedSize() + heartbeatReply().build().getSerializedSize();
  }

  private static PeerIdentity identity() {
    return PeerIdentity.newBuilder()
        .setName("entry-host-1")
        .setIncarnation(1_790_000_000_000L)
        .setAddress("10.20.30.40:7401")
        .setZone("rosario-norte")
        .build();
  }

  private static Envelope.Builder heartbeat() {
    return Envelope.newBuilder()
        .setHeartbeat(
            Heartbeat.newBuilder().setSender(identity()).setEpoch(123_456).setNextOffset(234_567));
  }

  private static Envelope.Builder heartbeatReply() {
    return Envelope.newBuilder()
        .setHeartbeatReply(
            HeartbeatReply.newBuilder()
                .setSender(identity())
                .setEpoch(123_456)
                .setNextOffset(234_567)
                .setActing(true));
  }

  private static WorkerExchange exchange(int tasks) {
    List<WorkerOperation> renewals = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      renewals.add(
          WorkerOperation.simple(
              WorkerOperation.Kind.RENEW, "screening-job-" + i + ".2n9c.1", 4500));
    }
    return new WorkerExchange(123_456, 123_456_789, renewals, 0);
  }

  private static WorkerReport report(int tasks) {
    List<TaskReport> reports = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      reports.add(
          new TaskReport(
              "screening-job-" + i + ".2n9c.1",
              "screening-job-" + i,
              List.of("worker-1", "worker-2"),
              TaskPhase.RUNNING,
              100,
              false));
    }
    return new WorkerReport(
        "worker-1", 123_456_789, 123_456, Optional.empty(), reports, VERSION, false);
  }

  private static List<LineFit.Point> exchangeBytes() {
    List<LineFit.Point> points = new ArrayList<>();
    for (int tasks : TASK_COUNTS) {
      int bytes = Json.bytes(exchange(tasks)).length + Json.bytes(report(tasks)).length;
      points.add(new LineFit.Point(tasks, bytes + 2 * HTTP_HEADER_BYTES));
    }
    return points;
  }

  private static WorkerExchange renewal() {
    return new WorkerExchange(
        123_456, 123_456_789, List.of(WorkerOperation.renewAll(4500)), VERSION);
  }

  private static List<LineFit.Point> unchangedBytes() {
    List<LineFit.Point> points = new ArrayList<>();
    for (int tasks : TASK_COUNTS) {
      int bytes = Json.bytes(renewal()).length + Json.bytes(UNCHANGED).length;
      points.add(new LineFit.Point(tasks, bytes + 2 * HTTP_HEADER_BYTES));
    }
    return points;
  }

  private static List<LineFit.Point> heartbeats(EventLoopGroup group) {
    PeerServer server =
        PeerServer.start(
            group, ANY_PORT, "key", request -> CompletableFuture.completedFuture(heartbeatReply()));
    PeerClient client = new PeerClient(group, identity(), "key");
    String address = "127.0.0.1:" + server.port();
    List<LineFit.Point> points = measure(() -> client.send(address, heartbeat(), 2000));
    client.close();
    server.close();
    return points;
  }

  private static List<LineFit.Point> exchanges(
      EventLoopGroup group, WorkerExchange exchange, WorkerReport report) {
    HttpServer server =
        HttpServer.start(
            group,
            ANY_PORT,
            1 << 20,
            call -> {
              Json.read(call.body(), WorkerExchange.class);
              return CompletableFuture.completedFuture(HttpReply.json(200, Json.bytes(report)));
            });
    HttpClient client = new HttpClient(group, 1 << 20);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    long[] nextId = {0};
    List<LineFit.Point> points =
        measure(
            () -> {
              HttpCall call = HttpCall.of("POST", "/exchange");
              byte[] body = Json.bytes(exchange);
              return client
                  .send(
                      address,
                      new HttpCall(call.method(), call.target(), call.headers(), body),
                      "id" + nextId[0]++,
                      2000)
                  .thenApply(reply -> Json.read(reply.body(), WorkerReport.class));
            });
    server.close();
    return points;
  }

  private static List<LineFit.Point> measure(
      java.util.function.Supplier<CompletableFuture<?>> send) {
    repeat(send, COUNTS[0]);
    List<LineFit.Point> points = new ArrayList<>();
    for (int count : COUNTS) {
      points.add(new LineFit.Point(count, Meters.cpuMicros(() -> repeat(send, count))));
    }
    return points;
  }

  private static void repeat(java.util.function.Supplier<CompletableFuture<?>> send, int count) {
    for (int i = 0; i < count; i += IN_FLIGHT) {
      List<CompletableFuture<?>> inFlight = new ArrayList<>();
      for (int j = 0; j < IN_FLIGHT; j++) {
        inFlight.add(send.get());
      }
      inFlight.forEach(CompletableFuture::join);
    }
  }
}
