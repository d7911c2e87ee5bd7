package org.wheatwall.wire.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A connection to a server that carries one request at a time. */
final class HttpClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final ResponseMatching matching;
  private final ReceivedBytes receivedBytes;
  private ChannelHandlerContext context;
  private CompletableFuture<HttpReply> pending;
  private ScheduledFuture<?> timeoutCheck;
  private CallTimeout timeout;
  private String requestId;
  private long startedAtNanos;
  private long receivedBefore;
  private volatile boolean reusable;

  HttpClientConnection(ResponseMatching matching, ReceivedBytes receivedBytes) {
    this.matching = matching;
    this.receivedBytes = receivedBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  CompletableFuture<HttpReply> exchange(
      InetSocketAddress address,
      HttpCall call,
      String id,
      CallTimeout limits,
      Runnable onResponseBegins) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    Runnable begin =
        () -> {
          receivedBytes.onNext(onResponseBegins);
          begin(address, call, id, limits, result);
        };
    if (context.executor().inEventLoop()) {
      begin.run();
    } else {
      context.executor().execute(begin);
    }
    return result;
  }

  Channel channel() {
    return context.channel();
  }

  boolean reusable() {
    return reusable;
  }

  private void begin(
      InetSocketAddress address,
      HttpCall call,
      String id,
      CallTimeout limits,
      CompletableFuture<HttpReply> result) {
    if (pending != null || !context.channel().isActive()) {
      result.completeExceptionally(
          new HttpFailure(HttpFailure.Kind.NOT_SENT, "connection to " + address + " was closed"));
      return;
    }
    pending = result;
    requestId = id;
    timeout = limits;
    startedAtNanos = System.nanoTime();
    receivedBefore = receivedBytes.total();
    reusable = false;
    checkTimeout(address);
    // A failed write may still have reached the peer in part, so the request counts as lost.
    context
        .writeAndFlush(request(address, call))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                failAndClose("cannot write to " + address + ": " + written.cause());
              }
            });
  }

  // Checks again at the time at which the call would fail without further progress.
  private void checkTimeout(InetSocketAddress address) {
    long remainingMs = remainingMs();
    if (remainingMs <= 0) {
      failAndClose(timeoutMessage(address));
      return;
    }
    timeoutCheck =
        context
            .executor()
            .schedule(() -> checkTimeout(address), remainingMs, TimeUnit.MILLISECONDS);
  }

  private long remainingMs() {
    long now = System.nanoTime();
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(now - startedAtNanos);
    long untilTotalMs = timeout.totalMs() - elapsedMs;
    if (receivedOfResponse() == 0) {
      return Math.min(untilTotalMs, timeout.responseMs() - elapsedMs);
    }
    long idleMs = TimeUnit.NANOSECONDS.toMillis(now - receivedBytes.latestAtNanos());
    return Math.min(untilTotalMs, timeout.progressMs() - idleMs);
  }

  private String timeoutMessage(InetSocketAddress address) {
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    long received = receivedOfResponse();
    return received == 0
        ? "no answer from " + address + " within " + elapsedMs + " ms"
        : "no whole answer from "
            + address
            + " within "
            + elapsedMs
            + " ms, "
            + received
            + " bytes";
  }

  private long receivedOfResponse() {
    return receivedBytes.total() - receivedBefore;
  }

  private static FullHttpRequest request(InetSocketAddress address, HttpCall call) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.target(),
            Unpooled.wrappedBuffer(call.body()),
            call.headers(),
            EmptyHttpHeaders.INSTANCE);
    request
        .headers()
        .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    return request;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ignored, FullHttpResponse response) {
    boolean byOrder = matching == ResponseMatching.BY_ORDER;
    boolean matches = byOrder || (requestId != null && requestId.equals(echoedId(response)));
    boolean foreign = echoedId(response) != null && !matches;
    if (pending == null || foreign || response.decoderResult().isFailure()) {
      failAndClose("an answer that belongs to no request, or is malformed");
      return;
    }
    reusable = matches && HttpUtil.isKeepAlive(response);
    HttpReply reply =
        new HttpReply(
            response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
    CompletableFuture<HttpReply> result = pending;
    pending = null;
    timeoutCheck.cancel(false);
    result.complete(reply);
  }

  private static String echoedId(FullHttpResponse response) {
    return response.headers().get(HttpClient.REQUEST_HEADER);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    failAndClose("connection closed before the whole answer came");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
    failAndClose(cause.toString());
  }

  private void failAndClose(String message) {
    CompletableFuture<HttpReply> result = pending;
    pending = null;
    reusable = false;
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
    }
    context.close();
    if (result != null) {
      result.completeExceptionally(
          new HttpFailure(HttpFailure.Kind.LOST, message, receivedOfResponse()));
    }
  }
}
