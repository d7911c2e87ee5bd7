package org.wheatwall.standin.task;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/** Stand-in for a worker of the platform: {@link TaskWorkerModel} behind HTTP, on real time. */
public final class TaskWorkerStandIn implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(TaskWorkerStandIn.class);
  private static final int MAX_BODY = 1024 * 1024;
  private static final int TICK_MS = 10;

  private final TaskWorkerModel model;
  private final EventLoopGroup group;
  private final HttpServer server;
  private final Runnable whenCrashed;
  private volatile boolean closed;
  private long tickedMs = System.nanoTime() / 1_000_000;

  private TaskWorkerStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      TaskWorkerModel model,
      Runnable whenCrashed) {
    this.model = model;
    this.group = group;
    this.whenCrashed = whenCrashed;
    this.server = HttpServer.start(group, address, MAX_BODY, this::handle);
    scheduleTick();
  }

  /** Starts the stand-in of a worker that tasks cannot crash. */
  public static TaskWorkerStandIn start(
      EventLoopGroup group, InetSocketAddress address, TaskWorkerModel model) {
    return new TaskWorkerStandIn(group, address, model, () -> {});
  }

  /**
   * Starts the stand-in.
   *
   * @param whenCrashed run once a task has crashed it and it takes no calls any more
   */
  public static TaskWorkerStandIn start(
      EventLoopGroup group,
      InetSocketAddress address,
      TaskWorkerModel model,
      Runnable whenCrashed) {
    return new TaskWorkerStandIn(group, address, model, whenCrashed);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    closed = true;
    server.close();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  // A start may come, and crash this worker, while it is still being constructed; so no tick relies
  // on a field that the constructor sets after the first one was scheduled.
  private void scheduleTick() {
    if (!closed && !group.isShuttingDown()) {
      group.next().schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    synchronized (model) {
      long now = nowMs();
      if (model.isCrashDue()) {
        crash(now);
        return;
      }
      model.tick(now, now - tickedMs);
      tickedMs = now;
    }
    scheduleTick();
  }

  private boolean isGone() {
    synchronized (model) {
      return model.hasCrashed();
    }
  }

  private void crash(long nowMs) {
    model.crash(nowMs);
    // Closing waits for the group's threads, of which this is one.
    CompletableFuture.runAsync(server::close)
        .thenRun(whenCrashed)
        .exceptionally(
            failure -> {
              LOG.atError()
                  .addKeyValue("worker", model.id())
                  .setCause(failure)
                  .log("crashed-worker-not-closed");
              return null;
            });
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    if (isGone()) {
      // A connection may have been opened while the port was being closed; nothing of this life may
      // answer for the next one, and the connection must not go on beside those of the next one.
      return CompletableFuture.completedFuture(HttpReply.empty(503).with("Connection", "close"));
    }
    JsonNode body = Json.tree(call.body());
    if (!call.header("X-Expect-Instance").orElse(model.id()).equals(model.id())) {
      return CompletableFuture.completedFuture(HttpReply.empty(421));
    }
    return switch (call.path()) {
      case "/v1/run-start" -> CompletableFuture.completedFuture(start(body));
      case "/v1/run-stop" -> CompletableFuture.completedFuture(stop(body));
      case "/v1/hold" -> renew(body);
      default -> CompletableFuture.completedFuture(HttpReply.empty(404));
    };
  }

  private HttpReply start(JsonNode body) {
    synchronized (model) {
      StartOrder order =
          new StartOrder(
              model.id(),
              task(body),
              body.path("run_id").asInt(),
              body.path("spec").asText(),
              body.path("checkpoint").asText(),
              Optional.of(body.path("ticket").asText()).filter(text -> !text.isEmpty()));
      return answer(
          model.start(
              order,
              body.path("fencing_token").asLong(),
              body.path("deadline_ms").asLong(),
              nowMs()));
    }
  }

  private HttpReply stop(JsonNode body) {
    synchronized (model) {
      StopOrder order = new StopOrder(model.id(), task(body), body.path("run_id").asInt());
      return answer(model.stop(order, body.path("fencing_token").asLong(), nowMs()));
    }
  }

  private HttpReply answer(OrderAnswer answer) {
    ObjectNode body = Json.mapper().createObjectNode().put("clock_ms", model.clockMs(nowMs()));
    String reason =
        switch (answer) {
          case FENCED -> "fence";
          case OLD_RUN -> "old";
          case TOO_LATE -> "late";
          case NO_ROOM -> "room";
          case NO_PERMIT -> "ticket";
          default -> "";
        };
    if (answer == OrderAnswer.DONE) {
      return HttpReply.json(200, Json.bytes(body));
    }
    return HttpReply.json(409, Json.bytes(body.put("reason", reason)));
  }

  private CompletableFuture<HttpReply> renew(JsonNode body) {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    OptionalLong until =
        body.has("deadline_ms")
            ? OptionalLong.of(body.path("deadline_ms").asLong())
            : OptionalLong.empty();
    long waitUntil = nowMs() + body.path("wait_ms").asLong();
    renew(body, until, waitUntil, answer);
    return answer;
  }

  private void renew(
      JsonNode body, OptionalLong until, long waitUntil, CompletableFuture<HttpReply> answer) {
    synchronized (model) {
      Optional<WorkerInventory> report =
          model.renew(
              body.path("fencing_token").asLong(), until, body.path("last_seen").asLong(), nowMs());
      if (report.isEmpty()) {
        answer.complete(answer(OrderAnswer.FENCED));
      } else if (!report.get().ended().isEmpty() || nowMs() >= waitUntil) {
        answer.complete(HttpReply.json(200, Json.bytes(text(report.get()))));
      } else {
        group
            .next()
            .schedule(
                () -> renew(body, OptionalLong.empty(), waitUntil, answer),
                TICK_MS,
                TimeUnit.MILLISECONDS);
      }
    }
  }

  private static ObjectNode text(WorkerInventory report) {
    ObjectNode body = Json.mapper().createObjectNode().put("clock_ms", report.clockMs());
    report.bornMs().ifPresent(born -> body.put("born", born));
    ArrayNode running = body.putArray("running");
    for (WorkerInventory.RunningTask task : report.running()) {
      running
          .addArray()
          .add(name(task.task()))
          .add(task.run())
          .add(task.checkpoint())
          .add(task.percent());
    }
    ArrayNode finished = body.putArray("finished");
    for (WorkerInventory.EndedTask end : report.ended()) {
      finished
          .addArray()
          .add(end.number())
          .add(name(end.task()))
          .add(end.run())
          .add(end.kind().name().toLowerCase(Locale.ROOT))
          .add(end.checkpoint());
    }
    return body;
  }

  private static String name(TaskName task) {
    return task.jobId() + "." + task.occurrence() + "." + task.step() + "." + task.index();
  }

  private static TaskName task(JsonNode body) {
    String[] parts = body.path("task").asText().split("\\.", -1);
    return new TaskName(
        parts[0],
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }
}
