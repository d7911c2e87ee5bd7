package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Counts the bytes that a connection receives, and when it did last; stands before the codec. */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private long total;
  private long latestAtNanos;
  private Runnable onNext = () -> {};

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      total += bytes.readableBytes();
      latestAtNanos = System.nanoTime();
      Runnable listener = onNext;
      onNext = () -> {};
      listener.run();
    }
    context.fireChannelRead(message);
  }

  /** Runs a task when bytes are received next, once. */
  void onNext(Runnable task) {
    onNext = task;
  }

  long total() {
    return total;
  }

  /** Returns when bytes were received last, in the time of {@link System#nanoTime}. */
  long latestAtNanos() {
    return latestAtNanos;
  }
}
