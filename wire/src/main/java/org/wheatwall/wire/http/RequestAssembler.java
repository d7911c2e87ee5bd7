package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/**
 * Assembles requests from their parts. A body is copied into one array that grows as it arrives, so
 * that neither a length that is only announced nor a body of many small chunks takes more memory
 * than its bytes.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
  private static final int FIRST_BODY_BYTES = 1024;
  private static final byte[] NO_BODY = new byte[0];

  private final int maxBody;
  private final ConnectionMemory memory;
  private String method = "";
  private String target = "";
  private HttpHeaders headers = new DefaultHttpHeaders();
  private byte[] body = NO_BODY;
  private int size;
  private boolean stopped;

  RequestAssembler(int maxBody, ConnectionMemory memory) {
    this.maxBody = maxBody;
    this.memory = memory;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (!stopped && part instanceof HttpRequest request) {
      begin(context, request);
    }
    if (!stopped && part instanceof HttpContent content) {
      append(context, content.content());
    }
    if (!stopped && part instanceof LastHttpContent last) {
      finish(context, last);
    }
  }

  private void begin(ChannelHandlerContext context, HttpRequest request) {
    method = request.method().name();
    target = request.uri();
    headers = request.headers();
    if (request.decoderResult().isFailure()) {
      rejectMalformed(context);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maxBody) {
      rejectTooLarge(context);
      return;
    }
    String expectation = headers.get(HttpHeaderNames.EXPECT);
    if (expectation != null) {
      answerExpectation(context, expectation);
    }
  }

  private void answerExpectation(ChannelHandlerContext context, String expectation) {
    if (!HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
      reject(
          context,
          RejectionReason.MALFORMED,
          Refusal.invalid("the expectation in Expect is not supported", "send none"));
      return;
    }
    headers.remove(HttpHeaderNames.EXPECT);
    context.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  private void append(ChannelHandlerContext context, ByteBuf content) {
    int added = content.readableBytes();
    if (size + added > maxBody) {
      rejectTooLarge(context);
      return;
    }
    if (size + added > body.length && !grow(size + added)) {
      return;
    }
    content.readBytes(body, size, added);
    size += added;
  }

  // Returns whether the connection may hold the larger array.
  private boolean grow(int needed) {
    int doubled = Math.min(maxBody, Math.max(FIRST_BODY_BYTES, 2 * body.length));
    int capacity = Math.max(needed, doubled);
    if (!memory.add(capacity - body.length)) {
      return false;
    }
    body = Arrays.copyOf(body, capacity);
    return true;
  }

  private void finish(ChannelHandlerContext context, LastHttpContent last) {
    if (last.decoderResult().isFailure() || isAmbiguous()) {
      rejectMalformed(context);
      return;
    }
    memory.remove(body.length - size);
    byte[] whole = body.length == size ? body : Arrays.copyOf(body, size);
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, size);
    HttpCall call = new HttpCall(method, target, headers, whole);
    ReceivedRequest request = ReceivedRequest.of(call, headerBytes());
    clear();
    target = "";
    context.fireChannelRead(request);
  }

  // A request that two servers could frame differently is never handled (RFC 9112, 6.3).
  private boolean isAmbiguous() {
    boolean twoLengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    boolean twoHosts = headers.getAll(HttpHeaderNames.HOST).size() > 1;
    return twoLengths || twoHosts;
  }

  private int headerBytes() {
    return headers instanceof CountedHeaders counted ? counted.complete() : 0;
  }

  private void rejectMalformed(ChannelHandlerContext context) {
    reject(
        context,
        RejectionReason.MALFORMED,
        Refusal.invalid(
            "the request's framing is malformed or ambiguous",
            "send one Content-Length or chunked encoding, not both, in well-formed HTTP/1.1"));
  }

  private void rejectTooLarge(ChannelHandlerContext context) {
    reject(
        context,
        RejectionReason.BODY_TOO_LARGE,
        new Refusal(
            RefusalKind.TOO_LARGE,
            "the body is larger than " + maxBody + " bytes",
            "send a smaller body"));
  }

  private void reject(ChannelHandlerContext context, RejectionReason reason, Refusal refusal) {
    memory.remove(headerBytes() + (long) body.length);
    ReceivedRequest request = ReceivedRequest.rejected(target, reason, refusal);
    discard();
    context.fireChannelRead(request);
  }

  private void clear() {
    headers = new DefaultHttpHeaders();
    body = NO_BODY;
    size = 0;
  }

  /** Drops the request received so far, and all that follows. */
  void discard() {
    stopped = true;
    clear();
  }

  /** Returns the target of the request that arrives; empty if it is not known yet. */
  String target() {
    return target;
  }
}
