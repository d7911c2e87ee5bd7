package org.wheatwall.wire.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/** Aggregates the parts of a request; refuses a body above the limit with a problem document. */
final class BodyLimit extends HttpObjectAggregator {
  private final int maxBody;
  private final HttpHandler handler;

  BodyLimit(int maxBody, HttpHandler handler) {
    super(maxBody);
    this.maxBody = maxBody;
    this.handler = handler;
  }

  // The rest of the body is not read: the response is sent and the connection closed.
  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    String target = oversized instanceof HttpRequest request ? request.uri() : "";
    Refusal refusal =
        new Refusal(
            RefusalKind.TOO_LARGE,
            "the body is larger than " + maxBody + " bytes",
            "send a smaller body");
    HttpReply reply = handler.refuse(target, refusal);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            Unpooled.wrappedBuffer(reply.body()));
    response.headers().set(reply.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
