package org.wheatwall.wire.peer;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.Hello;
import org.wheatwall.wire.message.PeerIdentity;

/** Sends requests to other entry hosts over one connection per host, opened on first use. */
public final class PeerClient {
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup group;
  private final PeerIdentity self;
  private final String key;
  private final Map<String, CompletableFuture<Connection>> connections = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong(1);

  /** Creates a client that identifies itself as {@code self} and authenticates by {@code key}. */
  public PeerClient(EventLoopGroup group, PeerIdentity self, String key) {
    this.group = group;
    this.self = self;
    this.key = key;
  }

  /**
   * Sends a request to the entry host at {@code address}. The future fails with a {@link Refusal}
   * of kind {@code UNAVAILABLE} if no reply arrives in time, in which case it is unknown whether
   * the request arrived, or if the reply is a problem.
   */
  public CompletableFuture<Envelope> send(
      String address, Envelope.Builder request, long timeoutMs) {
    Envelope message = request.setId(nextId.getAndIncrement()).build();
    return connection(address)
        .thenCompose(connection -> connection.exchange(message))
        .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                throw unavailable(address, failure);
              }
              if (reply.hasProblem()) {
                throw new Refusal(
                    RefusalKind.UNAVAILABLE,
                    reply.getProblem().getDetail(),
                    reply.getProblem().getRemedy());
              }
              return reply;
            });
  }

  /** Closes all connections. */
  public void close() {
    connections.values().forEach(future -> future.thenAccept(Connection::close));
  }

  private CompletableFuture<Connection> connection(String address) {
    CompletableFuture<Connection> known = connections.get(address);
    if (known != null && !isBroken(known)) {
      return known;
    }
    synchronized (connections) {
      CompletableFuture<Connection> current = connections.get(address);
      if (current == null || isBroken(current)) {
        current = connect(org.wheatwall.wire.http.Addresses.parse(address));
        connections.put(address, current);
      }
      return current;
    }
  }

  private static boolean isBroken(CompletableFuture<Connection> future) {
    return future.isCompletedExceptionally()
        || (future.isDone() && !future.join().channel().isActive());
  }

  private CompletableFuture<Connection> connect(InetSocketAddress address) {
    CompletableFuture<Connection> opened = new CompletableFuture<>();
    Connection connection = new Connection();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                PeerCodec.addTo(channel.pipeline());
                channel.pipeline().addLast(connection);
              }
            })
        .connect(address)
        .addListener(
            (ChannelFuture future) -> {
              if (!future.isSuccess()) {
                opened.completeExceptionally(future.cause());
                return;
              }
              future.channel().writeAndFlush(hello());
              // Not looked up in the pipeline, which is empty if the peer has closed already.
              opened.complete(connection);
            });
    return opened;
  }

  private Envelope hello() {
    return Envelope.newBuilder()
        .setHello(
            Hello.newBuilder()
                .setProtocolVersion(PeerServer.PROTOCOL_VERSION)
                .setSender(self)
                .setKeyProof(ByteString.copyFromUtf8(key)))
        .build();
  }

  private static Refusal unavailable(String address, Throwable failure) {
    return new Refusal(
        RefusalKind.UNAVAILABLE,
        "entry host " + address + " does not answer: " + failure,
        "repeat later; check the entry host and the network between");
  }

  private static final class Connection extends SimpleChannelInboundHandler<Envelope> {
    private final Map<Long, CompletableFuture<Envelope>> pending = new ConcurrentHashMap<>();
    // Why the server closes the connection; confined to the event loop.
    private String refusal = "connection closed";
    // Set before the connection is used.
    private volatile Channel channel;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      channel = context.channel();
    }

    private Channel channel() {
      return channel;
    }

    private CompletableFuture<Envelope> exchange(Envelope request) {
      CompletableFuture<Envelope> reply = new CompletableFuture<>();
      pending.put(request.getId(), reply);
      reply.whenComplete((value, failure) -> pending.remove(request.getId()));
      channel
          .writeAndFlush(request)
          .addListener(
              written -> {
                if (!written.isSuccess()) {
                  reply.completeExceptionally(written.cause());
                }
              });
      return reply;
    }

    private void close() {
      channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope reply) {
      if (reply.getId() == 0) {
        refusal = reply.getProblem().getDetail() + "; " + reply.getProblem().getRemedy();
        return;
      }
      CompletableFuture<Envelope> waiting = pending.remove(reply.getId());
      if (waiting != null) {
        waiting.complete(reply);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pending
          .values()
          .forEach(waiting -> waiting.completeExceptionally(new java.io.IOException(refusal)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
