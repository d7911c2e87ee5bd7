package org.wheatwall.standin.worker;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;
import org.wheatwall.wire.platform.WorkerExchange;

/** Stand-in for a worker: {@link WorkerModel} behind HTTP, in real time. */
public final class WorkerStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long TICK_MS = 20;

  private final WorkerModel model;
  private final SplittableRandom random;
  private final HttpServer server;
  private final ScheduledFuture<?> ticker;

  private WorkerStandIn(
      EventLoopGroup group, InetSocketAddress address, WorkerModel model, long seed) {
    this.model = model;
    this.random = new SplittableRandom(seed);
    this.server = HttpServer.start(group, address, MAX_BODY_BYTES, this::handle);
    this.ticker =
        group.next().scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Starts the stand-in. */
  public static WorkerStandIn start(
      EventLoopGroup group,
      InetSocketAddress address,
      String host,
      ResourceAmount capacity,
      long seed) {
    return new WorkerStandIn(group, address, new WorkerModel(host, capacity), seed);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Sets the behavior of the worker. */
  public void setBehavior(WorkerBehavior behavior) {
    synchronized (model) {
      model.setBehavior(behavior);
    }
  }

  /** Returns the task starts and stops on this worker so far. */
  public List<TaskEvent> ledger() {
    synchronized (model) {
      return model.ledger();
    }
  }

  @Override
  public void close() {
    ticker.cancel(false);
    server.close();
  }

  private void tick() {
    synchronized (model) {
      model.tick(monotonicMs(), System.currentTimeMillis());
    }
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    return switch (call.method() + " " + call.path()) {
      case "POST /exchange" -> exchange(Json.read(call.body(), WorkerExchange.class));
      case "GET /ledger" ->
          CompletableFuture.completedFuture(HttpReply.json(200, Json.bytes(ledger())));
      case "PUT /fault" -> {
        setBehavior(Json.read(call.body(), WorkerBehavior.class));
        yield CompletableFuture.completedFuture(HttpReply.empty(204));
      }
      default ->
          CompletableFuture.failedFuture(
              new Refusal(
                  RefusalKind.NOT_FOUND, "no such path", "use /exchange, /ledger or /fault"));
    };
  }

  private CompletableFuture<HttpReply> exchange(WorkerExchange exchange) {
    synchronized (model) {
      if (random.nextInt(100) < model.behavior().loseRequestsPercent()) {
        return new CompletableFuture<>();
      }
      HttpReply reply =
          HttpReply.json(
              200, Json.bytes(model.exchange(exchange, monotonicMs(), System.currentTimeMillis())));
      if (random.nextInt(100) < model.behavior().loseAnswersPercent()) {
        return new CompletableFuture<>();
      }
      return CompletableFuture.completedFuture(reply);
    }
  }

  private static long monotonicMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
