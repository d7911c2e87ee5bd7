package org.wheatwall.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A TCP proxy that injects network faults, for tests. */
public final class FaultProxy implements AutoCloseable {
  /** How the proxy treats connections and data. */
  public enum Mode {
    /** Forwards everything. */
    PASS,
    /** Closes every connection, including new ones. */
    CUT,
    /** Keeps connections open and drops all data in both directions. */
    HALF_OPEN,
    /** Drops the data that clients send. */
    DROP_TO_SERVER,
    /** Drops the data that the server sends. */
    DROP_TO_CLIENT,
    /** Closes every connection with a TCP reset. */
    RESET
  }

  // Loopback connections close within a few milliseconds, even while the machine is under load.
  private static final int CLOSE_TIMEOUT_MS = 1000;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final EventLoopGroup group;
  private final InetSocketAddress target;
  private final Channel listener;
  private final SharedLink linkToClients;
  private final SharedLink linkToServer;
  private volatile Mode mode = Mode.PASS;
  private volatile long delayMs;

  private FaultProxy(EventLoopGroup group, InetSocketAddress address, InetSocketAddress target) {
    this.group = group;
    this.target = target;
    this.linkToClients = new SharedLink(group.next());
    this.linkToServer = new SharedLink(group.next());
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Starts a proxy in front of {@code target}. */
  public static FaultProxy start(
      EventLoopGroup group, InetSocketAddress address, InetSocketAddress target) {
    return new FaultProxy(group, address, target);
  }

  /** Returns the port. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Sets the mode, for open connections too. When this returns, the connections that {@link
   * Mode#CUT} or {@link Mode#RESET} closes are closed, so nothing sent later gets through. Blocks;
   * must not be called on an event loop.
   */
  public void setMode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT || newMode == Mode.RESET) {
      if (newMode == Mode.RESET) {
        connections.forEach(channel -> channel.config().setOption(ChannelOption.SO_LINGER, 0));
      }
      connections.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
  }

  /** Sets the delay of all forwarded data, milliseconds. */
  public void setDelayMs(long newDelayMs) {
    delayMs = newDelayMs;
  }

  /**
   * Sets the data rate that all connections together have towards clients, bytes a second; 0 for no
   * limit.
   */
  public void setBytesPerSecondToClients(long rate) {
    linkToClients.setBytesPerSecond(rate);
  }

  /**
   * Sets the data rate that all connections together have towards the server, bytes a second; 0 for
   * no limit.
   */
  public void setBytesPerSecondToServer(long rate) {
    linkToServer.setBytesPerSecond(rate);
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
  }

  private void accept(SocketChannel client) {
    if (mode == Mode.CUT || mode == Mode.RESET) {
      client.config().setOption(ChannelOption.SO_LINGER, mode == Mode.RESET ? 0 : -1);
      client.close();
      return;
    }
    connections.add(client);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .handler(new Relay(client, Mode.DROP_TO_CLIENT))
        .connect(target)
        .addListener(
            (ChannelFuture future) -> {
              if (!future.isSuccess()) {
                client.close();
                return;
              }
              connections.add(future.channel());
              client.pipeline().addLast(new Relay(future.channel(), Mode.DROP_TO_SERVER));
              client.config().setAutoRead(true);
              future.channel().config().setAutoRead(true);
            });
  }

  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final Mode dropMode;

    private Relay(Channel other, Mode dropMode) {
      this.other = other;
      this.dropMode = dropMode;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (mode == Mode.HALF_OPEN || mode == dropMode) {
        ReferenceCountUtil.release(message);
        return;
      }
      ByteBuf bytes = (ByteBuf) message;
      if (link().isLimited()) {
        link().send(context.channel(), other, bytes);
      } else if (delayMs == 0) {
        other.writeAndFlush(bytes);
      } else {
        other
            .eventLoop()
            .schedule(() -> other.writeAndFlush(bytes), delayMs, TimeUnit.MILLISECONDS);
      }
    }

    private SharedLink link() {
      return dropMode == Mode.DROP_TO_CLIENT ? linkToClients : linkToServer;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (mode == Mode.HALF_OPEN) {
        return;
      }
      if (link().isLimited()) {
        link().closeAfterQueued(context.channel(), other);
      } else {
        other.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
