package org.wheatwall.wire.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** An HTTP/1.1 server based on Netty's codec. */
public final class HttpServer {
  private static final int BACKLOG = 1024;
  private static final long IDLE_CHECK_MS = 10;

  // What the kernel holds for a caller that sends without being read, or does not read.
  private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 8192;

  // Buffers of callers are on the heap, where their sum is accounted for. An event loop that needs
  // direct memory which callers hold would wait for it.
  private static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final CallLimiter calls;
  private final ConnectionLimiter connections;
  private final Rejections rejections = new Rejections();
  private final Channel listener;

  private HttpServer(
      EventLoopGroup group,
      InetSocketAddress address,
      ServerLimits limits,
      InboundMemory memory,
      HttpHandler handler) {
    calls = new CallLimiter(limits);
    connections = new ConnectionLimiter(limits.maxConnections());
    HttpServerContext context =
        new HttpServerContext(
            handler,
            limits.maxBody(),
            TimeUnit.MILLISECONDS.toNanos(limits.requestTimeoutMs()),
            calls,
            connections,
            rejections);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            .childOption(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channels.add(channel);
                    LoopMemory loop = memory.of(channel.eventLoop());
                    connections.add(
                        channel, HttpServerConnection.addTo(channel.pipeline(), context, loop));
                  }
                });
    listener = bootstrap.bind(address).syncUninterruptibly().channel();
  }

  /** Starts a server that accepts bodies of up to {@code maxBody} bytes. */
  public static HttpServer start(
      EventLoopGroup group, InetSocketAddress address, int maxBody, HttpHandler handler) {
    return start(group, address, ServerLimits.forMaxBody(maxBody), handler);
  }

  /** Starts a server with the given limits, the only one of its process. */
  public static HttpServer start(
      EventLoopGroup group, InetSocketAddress address, ServerLimits limits, HttpHandler handler) {
    return start(group, address, limits, InboundMemory.ofHeap(group, limits.maxBody()), handler);
  }

  /**
   * Starts a server with the given limits.
   *
   * @param memory limit that the servers of a process share
   */
  public static HttpServer start(
      EventLoopGroup group,
      InetSocketAddress address,
      ServerLimits limits,
      InboundMemory memory,
      HttpHandler handler) {
    return new HttpServer(group, address, limits, memory, handler);
  }

  /** Returns the port. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of calls without a complete response whose callers still wait. */
  public int inFlight() {
    return calls.inFlight();
  }

  /** Returns how many callers have closed their connections before their response was written. */
  public long abandonedCalls() {
    return calls.abandoned();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.open();
  }

  /** Returns how often something was rejected for a reason. */
  public long rejections(RejectionReason reason) {
    return rejections.count(reason);
  }

  /**
   * Stops accepting connections, answers calls in flight with {@code Connection: close}, and
   * completes when the last response is written. Calls that arrive on open connections after that
   * are refused.
   */
  public CompletableFuture<Void> drain() {
    calls.drain();
    CompletableFuture<Void> drained = new CompletableFuture<>();
    listener.close().addListener(closed -> completeWhenIdle(drained));
    return drained;
  }

  /** Closes the server and all connections immediately. */
  public void close() {
    listener.close().syncUninterruptibly();
    channels.close().awaitUninterruptibly(1000);
  }

  private void completeWhenIdle(CompletableFuture<Void> drained) {
    if (calls.tryClose()) {
      drained.complete(null);
      return;
    }
    listener
        .eventLoop()
        .schedule(() -> completeWhenIdle(drained), IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
  }
}
