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
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.wire.http.HttpCall;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.HttpServer;
import org.wheatwall.wire.json.Json;

/** Stand-in for the platform's service that gives permits: {@link PermitModel} behind HTTP. */
public final class PermitStandIn implements AutoCloseable {
  private static final int MAX_BODY = 64 * 1024;
  private static final int TOO_MANY = 429;

  private final PermitModel model;
  private final EventLoopGroup group;
  private final int decideMs;
  private final HttpServer server;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger maxInFlight = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();

  private PermitStandIn(
      EventLoopGroup group, InetSocketAddress address, PermitModel model, int decideMs) {
    this.model = model;
    this.group = group;
    this.decideMs = decideMs;
    this.server = HttpServer.start(group, address, MAX_BODY, this::handle);
  }

  /**
   * Starts the stand-in.
   *
   * @param decideMs how long each answer takes, milliseconds
   */
  public static PermitStandIn start(
      EventLoopGroup group, InetSocketAddress address, PermitModel model, int decideMs) {
    return new PermitStandIn(group, address, model, decideMs);
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  /** Returns the most calls that were under way at once. */
  public int maxInFlight() {
    return maxInFlight.get();
  }

  /** Refuses the next calls, as a service does that has too many. */
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
    if (refusals.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      return CompletableFuture.completedFuture(HttpReply.empty(TOO_MANY));
    }
    maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    group
        .next()
        .schedule(
            () -> {
              inFlight.decrementAndGet();
              answer.complete(HttpReply.json(200, Json.bytes(decide(Json.tree(call.body())))));
            },
            decideMs,
            TimeUnit.MILLISECONDS);
    return answer;
  }

  private ObjectNode decide(JsonNode body) {
    String[] parts = body.path("step").asText().split("\\.", -1);
    StepKey step = new StepKey(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    List<String> workers = new ArrayList<>();
    body.path("workers").forEach(worker -> workers.add(worker.asText()));
    PermitAnswer answer =
        model.decide(new PermitQuestion(step, workers, false), System.nanoTime() / 1_000_000);
    ObjectNode reply = Json.mapper().createObjectNode().put("valid_ms", answer.validMs());
    ArrayNode good = reply.putArray("good");
    answer.textByWorker().forEach((worker, text) -> good.addArray().add(worker).add(text));
    return reply;
  }
}
