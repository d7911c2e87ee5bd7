package org.wheatwall.wire.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Finds out whether a TCP connection to an address can be opened, and closes it at once. */
public final class ConnectionProbe {
  private final EventLoopGroup group;
  private final int timeoutMs;

  /**
   * Creates a probe.
   *
   * @param timeoutMs time limit for opening a connection, milliseconds
   */
  public ConnectionProbe(EventLoopGroup group, int timeoutMs) {
    this.group = group;
    this.timeoutMs = timeoutMs;
  }

  /** Tries to connect; the future never fails. */
  public CompletableFuture<Boolean> isReachable(InetSocketAddress address) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    ChannelFuture connect =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(address);
    connect.addListener(
        done -> {
          connect.channel().close();
          result.complete(done.isSuccess());
        });
    return result;
  }
}
