package org.wheatwall.wire.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.http.Problems;
import org.wheatwall.wire.http.RejectionReason;
import org.wheatwall.wire.http.Rejections;
import org.wheatwall.wire.message.Envelope;
import org.wheatwall.wire.message.Hello;
import org.wheatwall.wire.message.Problem;

/** Accepts connections of other entry hosts that authenticate by the shared key. */
public final class PeerServer {
  /** Version of the protocol between entry hosts. */
  public static final int PROTOCOL_VERSION = 1;

  // An entry host sends its first message as soon as the connection is open.
  private static final int MAX_UNAUTHENTICATED = 256;
  private static final int HELLO_TIMEOUT_MS = 10_000;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Rejections rejections = new Rejections();
  private final UnauthenticatedConnections unauthenticated =
      new UnauthenticatedConnections(MAX_UNAUTHENTICATED, HELLO_TIMEOUT_MS, rejections);
  private final Channel listener;
  private final byte[] key;
  private final PeerHandler handler;

  private PeerServer(
      EventLoopGroup group, InetSocketAddress address, String key, PeerHandler handler) {
    this.key = key.getBytes(StandardCharsets.UTF_8);
    this.handler = handler;
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    unauthenticated.add(channel);
                    PeerFrameDecoder decoder = PeerCodec.addTo(channel.pipeline());
                    channel.pipeline().addLast(new Connection(decoder));
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Starts a server. */
  public static PeerServer start(
      EventLoopGroup group, InetSocketAddress address, String key, PeerHandler handler) {
    return new PeerServer(group, address, key, handler);
  }

  /** Returns the port. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns how often something was rejected for a reason. */
  public long rejections(RejectionReason reason) {
    return rejections.count(reason);
  }

  /** Closes the server and all connections. */
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly(1000);
  }

  private final class Connection extends SimpleChannelInboundHandler<Envelope> {
    private final PeerFrameDecoder decoder;
    private boolean admitted;

    Connection(PeerFrameDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope request) {
      if (!admitted) {
        Optional<Refusal> refusal = refusal(request.getHello());
        admitted = refusal.isEmpty();
        if (admitted) {
          decoder.acceptLargeFrames();
          unauthenticated.remove(context.channel());
        }
        // The hello message has no identifier, so neither has the reply.
        refusal.ifPresent(
            reason ->
                context
                    .writeAndFlush(problem(reason).setReply(true).build())
                    .addListener(ChannelFutureListener.CLOSE));
        return;
      }
      handler
          .handle(request)
          .whenComplete(
              (reply, failure) -> {
                Envelope.Builder result = failure == null ? reply : problem(failure);
                context.writeAndFlush(result.setId(request.getId()).setReply(true).build());
              });
    }

    private Optional<Refusal> refusal(Hello hello) {
      if (!MessageDigest.isEqual(key, hello.getKeyProof().toByteArray())) {
        return Optional.of(
            new Refusal(
                RefusalKind.UNAUTHENTICATED,
                "the first message does not prove the key of the entry hosts",
                "set the same peerKey on every entry host"));
      }
      if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
        return Optional.of(
            Refusal.invalid(
                "protocol version " + hello.getProtocolVersion() + " is not spoken here",
                "run a version of wheatwall that speaks protocol version " + PROTOCOL_VERSION));
      }
      return Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      RejectionReason reason =
          admitted ? RejectionReason.CONNECTION_FAILED : RejectionReason.MALFORMED;
      if (context.channel().isActive()) {
        rejections.record(reason, context.channel(), 0, String.valueOf(cause));
        context.close();
      }
    }
  }

  private static Envelope.Builder problem(Throwable failure) {
    Throwable cause = Problems.unwrap(failure);
    Problem.Builder problem = Problem.newBuilder().setDetail(String.valueOf(cause.getMessage()));
    if (cause instanceof Refusal refusal) {
      problem
          .setKind(refusal.kind().label())
          .setDetail(refusal.detail())
          .setRemedy(refusal.remedy());
    }
    return Envelope.newBuilder().setProblem(problem);
  }
}
