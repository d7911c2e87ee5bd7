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
  private ScheduledFuture<?> timeout;
  private String requestId;
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
      InetSocketAddress address, HttpCall call, String id, long timeoutMs) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    Runnable begin = () -> begin(address, call, id, timeoutMs, result);
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
      long timeoutMs,
      CompletableFuture<HttpReply> result) {
    if (pending != null || !context.channel().isActive()) {
      result.completeExceptionally(
          new HttpFailure(HttpFailure.Kind.NOT_SENT, "connection to " + address + " was closed"));
      return;
    }
    pending = result;
    requestId = id;
    receivedBefore = receivedBytes.total();
    reusable = false;
    timeout =
        context
            .executor()
            .schedule(
                () -> failAndClose(timeoutMessage(address, timeoutMs)),
                timeoutMs,
                TimeUnit.MILLISECONDS);
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

  private String timeoutMessage(InetSocketAddress address, long timeoutMs) {
    long received = receivedOfResponse();
    return received == 0
        ? "no answer from " + address + " within " + timeoutMs + " ms"
        : "no whole answer from "
            + address
            + " within "
            + timeoutMs
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
    timeout.cancel(false);
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
    if (timeout != null) {
      timeout.cancel(false);
    }
    context.close();
    if (result != null) {
      result.completeExceptionally(
          new HttpFailure(HttpFailure.Kind.LOST, message, receivedOfResponse()));
    }
  }
}
