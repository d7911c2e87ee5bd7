package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Counts the bytes that a connection receives, and when it did last; stands before the codec. */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private long total;
  private long latestAtNanos;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      total += bytes.readableBytes();
      latestAtNanos = System.nanoTime();
    }
    context.fireChannelRead(message);
  }

  long total() {
    return total;
  }

  /** Returns when bytes were received last, in the time of {@link System#nanoTime}. */
  long latestAtNanos() {
    return latestAtNanos;
  }
}
