package org.wheatwall.standin.runner;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.wheatwall.wire.http.HttpClient;
import org.wheatwall.wire.json.Json;

/**
 * Stand-in for a runner: 8 slots, 64 connections, counts of what ran, and responses that can be
 * delayed, duplicated, reordered, truncated or missing. A response echoes the request's identifier
 * and body, so that a caller can tell whether it belongs to its request.
 */
public final class RunnerStandIn implements AutoCloseable {
  /** Maximum number of concurrent requests. */
  public static final int SLOTS = 8;

  /** Maximum number of concurrent connections. */
  public static final int MAX_CONNECTIONS = 64;

  /** Response header that says that the runner did not run the request. */
  public static final String NOT_RUN_HEADER = "Wheatwall-Not-Run";

  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int LATE_FACTOR = 10;

  private final Map<String, Integer> requests = new HashMap<>();
  private final Map<String, Integer> keys = new HashMap<>();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final ResponseReorderer reorderer = new ResponseReorderer();
  private final SplittableRandom random;
  private final Channel listener;
  private RunnerBehavior behavior = RunnerBehavior.HEALTHY;
  private int slots;
  private int mostSlots;
  private int connectionCount;
  private int mostConnections;
  private long refusedConnections;
  private long begun;
  private long rejected;
  private long lastBegunMs;

  private RunnerStandIn(EventLoopGroup group, InetSocketAddress address, long seed) {
    random = new SplittableRandom(seed);
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new Connection());
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Starts the stand-in. */
  public static RunnerStandIn start(EventLoopGroup group, InetSocketAddress address, long seed) {
    return new RunnerStandIn(group, address, seed);
  }

  /** Returns the port. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Sets the behavior of the runner. */
  public synchronized void setBehavior(RunnerBehavior next) {
    behavior = next;
  }

  /** Returns the counts so far. */
  public synchronized RunnerLedger ledger() {
    return new RunnerLedger(
        begun,
        rejected,
        mostSlots,
        mostConnections,
        refusedConnections,
        Map.copyOf(requests),
        Map.copyOf(keys),
        lastBegunMs);
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly(1000);
  }

  private enum ResponseKind {
    WHOLE,
    FAILED,
    TRUNCATED,
    RESET,
    TWICE,
    REORDERED
  }

  private synchronized boolean tryBegin(FullHttpRequest request) {
    if (slots >= SLOTS) {
      rejected++;
      return false;
    }
    slots++;
    mostSlots = Math.max(mostSlots, slots);
    begun++;
    lastBegunMs = System.currentTimeMillis();
    count(requests, request.headers().get(HttpClient.REQUEST_HEADER));
    count(keys, request.headers().get("Idempotency-Key"));
    return true;
  }

  private static void count(Map<String, Integer> counts, String name) {
    if (name != null) {
      counts.merge(name, 1, Integer::sum);
    }
  }

  private synchronized void releaseSlot() {
    slots--;
  }

  private synchronized ResponseKind drawResponseKind() {
    int draw = random.nextInt(100);
    int limit = behavior.failPercent();
    if (draw < limit) {
      return ResponseKind.FAILED;
    }
    limit += behavior.truncatePercent();
    if (draw < limit) {
      return ResponseKind.TRUNCATED;
    }
    limit += behavior.resetPercent();
    if (draw < limit) {
      return ResponseKind.RESET;
    }
    limit += behavior.twicePercent();
    if (draw < limit) {
      return ResponseKind.TWICE;
    }
    limit += behavior.reorderPercent();
    return draw < limit ? ResponseKind.REORDERED : ResponseKind.WHOLE;
  }

  private synchronized long drawDelayMs() {
    boolean late = random.nextInt(100) < behavior.latePercent();
    return late ? (long) behavior.serviceMs() * LATE_FACTOR : behavior.serviceMs();
  }

  private synchronized boolean tryAddConnection() {
    if (connectionCount >= MAX_CONNECTIONS) {
      refusedConnections++;
      return false;
    }
    connectionCount++;
    mostConnections = Math.max(mostConnections, connectionCount);
    return true;
  }

  private synchronized void removeConnection() {
    connectionCount--;
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean counted;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      counted = tryAddConnection();
      if (!counted) {
        context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (counted) {
        removeConnection();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (isControl(context, request)) {
        return;
      }
      String requestId = request.headers().get(HttpClient.REQUEST_HEADER, "");
      if (!tryBegin(request)) {
        FullHttpResponse refusal = response(HttpResponseStatus.SERVICE_UNAVAILABLE, requestId, "");
        refusal.headers().set(NOT_RUN_HEADER, "1");
        context.writeAndFlush(refusal);
        return;
      }
      String body = requestId + " " + request.content().toString(StandardCharsets.UTF_8);
      ResponseKind kind = drawResponseKind();
      Runnable respond =
          () -> {
            releaseSlot();
            respond(context, kind, requestId, body);
          };
      long delayMs = drawDelayMs();
      if (delayMs == 0) {
        respond.run();
      } else {
        context.executor().schedule(respond, delayMs, TimeUnit.MILLISECONDS);
      }
    }

    private boolean isControl(ChannelHandlerContext context, FullHttpRequest request) {
      String control = request.method() + " " + request.uri();
      if (control.equals("GET /standin/ledger")) {
        byte[] ledgerBytes = Json.bytes(ledger());
        context.writeAndFlush(
            response(HttpResponseStatus.OK, "", new String(ledgerBytes, StandardCharsets.UTF_8)));
        return true;
      }
      if (control.equals("PUT /standin/fault")) {
        byte[] bytes = new byte[request.content().readableBytes()];
        request.content().readBytes(bytes);
        setBehavior(Json.read(bytes, RunnerBehavior.class));
        context.writeAndFlush(response(HttpResponseStatus.OK, "", ""));
        return true;
      }
      return false;
    }

    private void respond(
        ChannelHandlerContext context, ResponseKind kind, String requestId, String body) {
      if (kind == ResponseKind.REORDERED) {
        reorderer.hold(
            () -> write(context, ResponseKind.WHOLE, requestId, body), context.executor());
      } else {
        reorderer.send(() -> write(context, kind, requestId, body));
      }
    }

    private void write(
        ChannelHandlerContext context, ResponseKind kind, String requestId, String body) {
      switch (kind) {
        case WHOLE, REORDERED ->
            context.writeAndFlush(response(HttpResponseStatus.OK, requestId, body));
        case FAILED ->
            context.writeAndFlush(
                response(HttpResponseStatus.INTERNAL_SERVER_ERROR, requestId, body));
        case RESET -> context.close();
        case TWICE -> {
          context.writeAndFlush(response(HttpResponseStatus.OK, requestId, body));
          context.writeAndFlush(response(HttpResponseStatus.OK, requestId, body));
        }
        case TRUNCATED -> writeTruncated(context, requestId, body);
      }
    }

    private void writeTruncated(ChannelHandlerContext context, String requestId, String body) {
      DefaultHttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length() + 100);
      head.headers().set(HttpClient.REQUEST_HEADER, requestId);
      context.write(head);
      context
          .writeAndFlush(
              new DefaultHttpContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
          .addListener(ChannelFutureListener.CLOSE);
    }

    private FullHttpResponse response(HttpResponseStatus status, String requestId, String body) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
      if (!requestId.isEmpty()) {
        response.headers().set(HttpClient.REQUEST_HEADER, requestId);
      }
      return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
