package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Counts the bytes that a connection receives; stands before the codec. */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private long total;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      total += bytes.readableBytes();
    }
    context.fireChannelRead(message);
  }

  long total() {
    return total;
  }
}
