package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/**
 * A connection of a caller. Pipelined requests are handled one after another, in order. While a
 * request waits behind another, nothing more is read, so that a caller that reads slowly delays
 * only itself.
 *
 * <p>What a caller makes the connection hold is counted: by {@link ConnectionMemory} while a
 * request arrives or waits and while a response is not read, by {@link CallLimiter} while a call is
 * in flight.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<ReceivedRequest> {
  private static final int MAX_PIPELINED = 16;
  private static final int IDLE_SECONDS = 60;
  private static final int PART_BYTES = 64 * 1024;
  private static final byte[] NO_BODY = new byte[0];
  private static final String OVERLOAD_RETRY_SECONDS = "1";

  private final HttpServerContext server;
  private final ConnectionMemory memory;
  private final StrictRequestDecoder decoder;
  private final RequestAssembler assembler;
  private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private boolean handling;
  private boolean writing;
  private long unreadBytes;
  private Optional<CallLimiter.CallSize> admitted = Optional.empty();
  private boolean reading = true;
  private boolean acceptsRequests = true;
  private Optional<ScheduledFuture<?>> requestTimeout = Optional.empty();
  private long latestCallNanos = System.nanoTime();

  private HttpServerConnection(HttpServerContext server, LoopMemory loop) {
    this.server = server;
    memory = loop.open(() -> giveUp(RejectionReason.MEMORY_LIMIT));
    decoder = new StrictRequestDecoder(memory);
    assembler = new RequestAssembler(server.maxBody(), memory);
  }

  /** Adds the handlers of a new connection to its pipeline; called on its event loop. */
  static HttpServerConnection addTo(
      ChannelPipeline pipeline, HttpServerContext server, LoopMemory loop) {
    HttpServerConnection connection = new HttpServerConnection(server, loop);
    pipeline
        // A response that a caller reads slowly counts as activity.
        .addLast(new IdleStateHandler(true, 0, 0, IDLE_SECONDS, TimeUnit.SECONDS))
        .addLast(connection.decoder)
        .addLast(new HttpResponseEncoder())
        .addLast(new HttpServerKeepAliveHandler())
        .addLast(connection.assembler)
        .addLast(connection);
    return connection;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ignored, ReceivedRequest request) {
    if (!acceptsRequests) {
      memory.remove(request.heldBytes());
      return;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      memory.remove(request.heldBytes());
      record(RejectionReason.PIPELINE_LIMIT, request.call().target());
      stopAccepting();
      return;
    }
    waiting.add(request);
    if (isBusy()) {
      // Reading stops only once a request waits behind another. Most connections never pipeline,
      // and turning reading off and on costs two system calls per request.
      setReading(false);
      return;
    }
    handleNext();
  }

  private boolean isBusy() {
    return handling || writing;
  }

  // Requests that have been accepted are still handled; then the connection is closed.
  private void stopAccepting() {
    acceptsRequests = false;
    decoder.discard();
    assembler.discard();
    setReading(false);
  }

  private void handleNext() {
    ReceivedRequest request = isBusy() ? null : waiting.poll();
    if (request == null) {
      return;
    }
    memory.remove(request.heldBytes());
    HttpCall call = request.call();
    if (request.rejection().isPresent()) {
      ReceivedRequest.Rejection rejection = request.rejection().get();
      record(rejection.reason(), call.target());
      write(false, server.handler().refuse(call.target(), rejection.refusal()), true);
      return;
    }
    boolean headOnly = call.method().equals("HEAD");
    CallLimiter.CallSize size = new CallLimiter.CallSize(call.body().length, request.headerBytes());
    CallLimiter.Admission admission = server.calls().admit(size);
    if (admission != CallLimiter.Admission.ADMITTED) {
      refuse(call, headOnly, admission == CallLimiter.Admission.CLOSED);
      return;
    }
    admitted = Optional.of(size);
    handling = true;
    boolean close =
        HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(call.header("Connection").orElse(""));
    handle(call)
        .whenComplete(
            (reply, failure) -> {
              server.calls().free(size);
              HttpReply result =
                  withIdentifier(call, failure == null ? reply : Problems.reply(failure));
              runOnEventLoop(() -> write(headOnly, result, close));
            });
  }

  private void refuse(HttpCall call, boolean headOnly, boolean stopping) {
    record(stopping ? RejectionReason.STOPPING : RejectionReason.CALL_LIMIT, call.target());
    Refusal refusal = stopping ? stoppingRefusal() : overloadRefusal();
    write(headOnly, overloadReply(call.target(), refusal), stopping);
  }

  private HttpReply overloadReply(String target, Refusal refusal) {
    HttpReply reply = server.handler().refuse(target, refusal);
    boolean saysWhen = reply.header("Retry-After").isPresent();
    return saysWhen ? reply : reply.with("Retry-After", OVERLOAD_RETRY_SECONDS);
  }

  private static Refusal stoppingRefusal() {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "this process is stopping and takes no more calls",
        "repeat through another entry host");
  }

  private static Refusal overloadRefusal() {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "as many calls are under way here as this process takes",
        "repeat after the time in Retry-After, or through another entry host");
  }

  private void runOnEventLoop(Runnable task) {
    if (context.executor().inEventLoop()) {
      task.run();
    } else {
      context.executor().execute(task);
    }
  }

  private void setReading(boolean enabled) {
    if (reading != enabled) {
      reading = enabled;
      context.channel().config().setAutoRead(enabled);
    }
  }

  // Echoes the request's identifier, by which the client matches the response.
  private static HttpReply withIdentifier(HttpCall call, HttpReply reply) {
    boolean present = reply.header(HttpClient.REQUEST_HEADER).isPresent();
    return call.header(HttpClient.REQUEST_HEADER)
        .filter(id -> !present)
        .map(id -> reply.with(HttpClient.REQUEST_HEADER, id))
        .orElse(reply);
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    try {
      return server.handler().handle(call);
    } catch (RuntimeException failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  private void write(boolean headOnly, HttpReply reply, boolean close) {
    handling = false;
    writing = true;
    latestCallNanos = System.nanoTime();
    boolean last =
        close
            || server.calls().isDraining()
            || server.connections().isFull()
            || (!acceptsRequests && waiting.isEmpty());
    ChannelFuture written = send(headOnly, reply, last);
    if (!written.isDone()) {
      unreadBytes = reply.body().length;
      memory.add(unreadBytes);
    }
    written.addListener(done -> onWritten(last || !done.isSuccess()));
  }

  // Large bodies are written in parts, because the virtual machine copies what is written at once
  // to direct memory. The response to HEAD has the Content-Length of a body that is not sent
  // (RFC 9110, 9.3.2).
  private ChannelFuture send(boolean headOnly, HttpReply reply, boolean last) {
    byte[] body = headOnly ? NO_BODY : reply.body();
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()));
    head.headers().set(reply.headers());
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    if (last) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    context.write(head);
    int sent = 0;
    for (; body.length - sent > PART_BYTES; sent += PART_BYTES) {
      context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(body, sent, PART_BYTES)));
    }
    ByteBuf rest = Unpooled.wrappedBuffer(body, sent, body.length - sent);
    return context.writeAndFlush(new DefaultLastHttpContent(rest));
  }

  private void onWritten(boolean close) {
    writing = false;
    latestCallNanos = System.nanoTime();
    memory.remove(unreadBytes);
    unreadBytes = 0;
    release();
    if (close) {
      context.close();
      return;
    }
    handleNext();
    setReading(acceptsRequests && waiting.isEmpty());
  }

  private void release() {
    admitted.ifPresent(server.calls()::release);
    admitted = Optional.empty();
  }

  /** Returns whether a call is being handled whose response is not known yet. */
  boolean isHandlingCall() {
    return handling;
  }

  /** Returns for how long there has been no call, since the connection was opened at most. */
  long nanosWithoutCall() {
    return System.nanoTime() - latestCallNanos;
  }

  /**
   * Drops every request of the caller that is not being handled, and closes the connection: at
   * once, or after the response to the call that is being handled. Called on the event loop.
   */
  void giveUp(RejectionReason reason) {
    boolean answer = !isBusy() && decoder.isReceiving();
    record(reason, assembler.target());
    waiting.clear();
    stopAccepting();
    memory.discard();
    if (handling) {
      return;
    }
    if (answer) {
      // The connection is closed whether or not the caller takes the response.
      HttpReply reply = overloadReply(assembler.target(), overloadRefusal());
      send(false, reply, true);
    }
    context.close();
  }

  private void record(RejectionReason reason, String detail) {
    Channel channel = context.channel();
    server.rejections().record(reason, channel, memory.latestHeldBytes(), detail);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ignored) throws Exception {
    if (decoder.isReceiving() && acceptsRequests && requestTimeout.isEmpty()) {
      scheduleRequestTimeout(server.requestTimeoutNanos());
    }
    super.channelReadComplete(ignored);
  }

  private void scheduleRequestTimeout(long delayNanos) {
    requestTimeout =
        Optional.of(
            context
                .executor()
                .schedule(this::checkRequestTimeout, delayNanos, TimeUnit.NANOSECONDS));
  }

  private void checkRequestTimeout() {
    requestTimeout = Optional.empty();
    if (!decoder.isReceiving() || !acceptsRequests) {
      return;
    }
    long leftNanos =
        server.requestTimeoutNanos() - (System.nanoTime() - decoder.receivingSinceNanos());
    if (isBusy()) {
      // Nothing may have been read meanwhile.
      scheduleRequestTimeout(server.requestTimeoutNanos());
    } else if (leftNanos > 0) {
      scheduleRequestTimeout(leftNanos);
    } else {
      giveUp(RejectionReason.REQUEST_TIMEOUT);
    }
  }

  // The response to a caller that has gone may come late or never, and nobody waits for it.
  @Override
  public void channelInactive(ChannelHandlerContext ignored) throws Exception {
    if (admitted.isPresent()) {
      server.calls().recordAbandoned();
    }
    release();
    waiting.clear();
    memory.close();
    requestTimeout.ifPresent(timeout -> timeout.cancel(false));
    super.channelInactive(ignored);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ignored, Object event) throws Exception {
    if (event instanceof IdleStateEvent && !handling) {
      if (writing) {
        record(RejectionReason.RESPONSE_TIMEOUT, assembler.target());
      }
      context.close();
    }
    super.userEventTriggered(ignored, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
    if (context.channel().isActive()) {
      record(RejectionReason.CONNECTION_FAILED, String.valueOf(cause));
      context.close();
    }
  }
}
