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
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/** Stand-in for a worker of the platform: {@link TaskWorkerModel} behind HTTP, in real time. */
public final class TaskWorkerStandIn implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(TaskWorkerStandIn.class);
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int TICK_MS = 10;

  private final TaskWorkerModel model;
  private final EventLoopGroup group;
  private final HttpServer server;
  private final Runnable onCrash;
  private volatile boolean closed;
  private long lastTickMs = System.nanoTime() / 1_000_000;

  private TaskWorkerStandIn(
      EventLoopGroup group, InetSocketAddress address, TaskWorkerModel model, Runnable onCrash) {
    this.model = model;
    this.group = group;
    this.onCrash = onCrash;
    this.server = HttpServer.start(group, address, MAX_BODY_BYTES, this::handle);
    scheduleTick();
  }

  /** Starts a stand-in without a crash callback. */
  public static TaskWorkerStandIn start(
      EventLoopGroup group, InetSocketAddress address, TaskWorkerModel model) {
    return new TaskWorkerStandIn(group, address, model, () -> {});
  }

  /**
   * Starts the stand-in.
   *
   * @param onCrash run after a task crashed the worker and its server is closed
   */
  public static TaskWorkerStandIn start(
      EventLoopGroup group, InetSocketAddress address, TaskWorkerModel model, Runnable onCrash) {
    return new TaskWorkerStandIn(group, address, model, onCrash);
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

  // A start command may arrive and crash this worker while the constructor is still running, so no
  // tick may rely on a field that the constructor sets after scheduling the first tick.
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
      model.tick(now, now - lastTickMs);
      lastTickMs = now;
    }
    scheduleTick();
  }

  private boolean hasCrashed() {
    synchronized (model) {
      return model.hasCrashed();
    }
  }

  private void crash(long nowMs) {
    model.crash(nowMs);
    // Closing the server waits for the group's threads, and this is one of them.
    CompletableFuture.runAsync(server::close)
        .thenRun(onCrash)
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
    if (hasCrashed()) {
      // A connection may have been opened while the port was being closed. This incarnation must
      // not respond for the next one, and the connection must not outlive it.
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
      StartCommand command =
          new StartCommand(
              model.id(),
              parseTask(body),
              body.path("run_id").asInt(),
              body.path("spec").asText(),
              body.path("checkpoint").asText(),
              Optional.of(body.path("ticket").asText()).filter(permit -> !permit.isEmpty()));
      return toReply(
          model.start(
              command,
              body.path("fencing_token").asLong(),
              body.path("deadline_ms").asLong(),
              nowMs()));
    }
  }

  private HttpReply stop(JsonNode body) {
    synchronized (model) {
      StopCommand command =
          new StopCommand(model.id(), parseTask(body), body.path("run_id").asInt());
      return toReply(model.stop(command, body.path("fencing_token").asLong(), nowMs()));
    }
  }

  private HttpReply toReply(CommandOutcome outcome) {
    ObjectNode body = Json.mapper().createObjectNode().put("clock_ms", model.clockMs(nowMs()));
    String reason =
        switch (outcome) {
          case FENCED -> "fence";
          case OLD_RUN -> "old";
          case TOO_LATE -> "late";
          case NO_ROOM -> "room";
          case NO_PERMIT -> "ticket";
          default -> "";
        };
    if (outcome == CommandOutcome.DONE) {
      return HttpReply.json(200, Json.bytes(body));
    }
    return HttpReply.json(409, Json.bytes(body.put("reason", reason)));
  }

  private CompletableFuture<HttpReply> renew(JsonNode body) {
    CompletableFuture<HttpReply> response = new CompletableFuture<>();
    OptionalLong leaseUntilMs =
        body.has("deadline_ms")
            ? OptionalLong.of(body.path("deadline_ms").asLong())
            : OptionalLong.empty();
    long waitUntilMs = nowMs() + body.path("wait_ms").asLong();
    renew(body, leaseUntilMs, waitUntilMs, response);
    return response;
  }

  private void renew(
      JsonNode body,
      OptionalLong leaseUntilMs,
      long waitUntilMs,
      CompletableFuture<HttpReply> response) {
    synchronized (model) {
      Optional<WorkerInventory> report =
          model.renew(
              body.path("fencing_token").asLong(),
              leaseUntilMs,
              body.path("last_seen").asLong(),
              nowMs());
      if (report.isEmpty()) {
        response.complete(toReply(CommandOutcome.FENCED));
      } else if (!report.get().ended().isEmpty() || nowMs() >= waitUntilMs) {
        response.complete(HttpReply.json(200, Json.bytes(toJson(report.get()))));
      } else {
        group
            .next()
            .schedule(
                () -> renew(body, OptionalLong.empty(), waitUntilMs, response),
                TICK_MS,
                TimeUnit.MILLISECONDS);
      }
    }
  }

  private static ObjectNode toJson(WorkerInventory report) {
    ObjectNode body = Json.mapper().createObjectNode().put("clock_ms", report.clockMs());
    report.startedAtMs().ifPresent(startedAtMs -> body.put("born", startedAtMs));
    ArrayNode running = body.putArray("running");
    for (WorkerInventory.RunningTask task : report.running()) {
      running
          .addArray()
          .add(toName(task.task()))
          .add(task.run())
          .add(task.checkpoint())
          .add(task.percent());
    }
    ArrayNode finished = body.putArray("finished");
    for (WorkerInventory.EndedTask end : report.ended()) {
      finished
          .addArray()
          .add(end.number())
          .add(toName(end.task()))
          .add(end.run())
          .add(end.kind().name().toLowerCase(Locale.ROOT))
          .add(end.checkpoint());
    }
    return body;
  }

  private static String toName(TaskName task) {
    return task.jobId() + "." + task.occurrence() + "." + task.step() + "." + task.index();
  }

  private static TaskName parseTask(JsonNode body) {
    String[] fields = body.path("task").asText().split("\\.", -1);
    return new TaskName(
        fields[0],
        Integer.parseInt(fields[1]),
        Integer.parseInt(fields[2]),
        Integer.parseInt(fields[3]));
  }
}
