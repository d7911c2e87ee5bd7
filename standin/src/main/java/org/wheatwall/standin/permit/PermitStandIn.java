package org.wheatwall.standin.permit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/** Stand-in for the platform's permit service: {@link PermitModel} behind HTTP. */
public final class PermitStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int TOO_MANY_REQUESTS = 429;

  private final PermitModel model;
  private final EventLoopGroup group;
  private final int responseDelayMs;
  private final HttpServer server;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger maxInFlight = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();

  private PermitStandIn(
      EventLoopGroup group, InetSocketAddress address, PermitModel model, int responseDelayMs) {
    this.model = model;
    this.group = group;
    this.responseDelayMs = responseDelayMs;
    this.server = HttpServer.start(group, address, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param responseDelayMs delay of each response, milliseconds
   */
  public static PermitStandIn start(
      EventLoopGroup group, InetSocketAddress address, PermitModel model, int responseDelayMs) {
    return new PermitStandIn(group, address, model, responseDelayMs);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Returns the largest number of calls that were in flight at once. */
  public int maxInFlight() {
    return maxInFlight.get();
  }

  /** Refuses the next {@code calls} calls with status 429, as an overloaded service does. */
  public void refuseNext(int calls) {
    refusals.set(calls);
  }

  @Override
  public void close() {
    server.close();
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    if (!call.path().equals("/v1/advise")) {
      return CompletableFuture.completedFuture(HttpReply.empty(404));
    }
    if (refusals.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
      return CompletableFuture.completedFuture(HttpReply.empty(TOO_MANY_REQUESTS));
    }
    maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
    CompletableFuture<HttpReply> response = new CompletableFuture<>();
    group
        .next()
        .schedule(
            () -> {
              inFlight.decrementAndGet();
              response.complete(HttpReply.json(200, Json.bytes(decide(Json.tree(call.body())))));
            },
            responseDelayMs,
            TimeUnit.MILLISECONDS);
    return response;
  }

  private ObjectNode decide(JsonNode body) {
    String[] fields = body.path("step").asText().split("\\.", -1);
    StepKey step = new StepKey(fields[0], Integer.parseInt(fields[1]), Integer.parseInt(fields[2]));
    List<String> workers = new ArrayList<>();
    body.path("workers").forEach(worker -> workers.add(worker.asText()));
    PermitResponse response =
        model.decide(new PermitRequest(step, workers, false), System.nanoTime() / 1_000_000);
    ObjectNode reply = Json.mapper().createObjectNode().put("valid_ms", response.validMs());
    ArrayNode granted = reply.putArray("good");
    response
        .permitByWorker()
        .forEach((worker, permit) -> granted.addArray().add(worker).add(permit));
    return reply;
  }
}
