package org.wheatwall.wire.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP/1.1 client that never assigns a response to the wrong request. By default, a connection
 * is reused only after a response that echoed the request's identifier in {@value #REQUEST_HEADER};
 * otherwise a late second response could be taken for the response to the next request. A
 * connection on which anything unexpected happens is closed.
 */
public final class HttpClient {
  /** Header that carries the request's identifier and is echoed in the response. */
  public static final String REQUEST_HEADER = "Wheatwall-Request";

  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final int DEFAULT_IDLE = 8;

  private final EventLoopGroup group;
  private final int maxBody;
  private volatile int maxIdle;
  private final ResponseMatching matching;
  private final int connectTimeoutMs;
  private final Map<InetSocketAddress, Deque<HttpClientConnection>> idle =
      new ConcurrentHashMap<>();

  /** Creates a client that accepts response bodies of up to {@code maxBody} bytes. */
  public HttpClient(EventLoopGroup group, int maxBody) {
    this(group, maxBody, DEFAULT_IDLE, ResponseMatching.BY_IDENTIFIER);
  }

  /** Creates a client that keeps up to {@code maxIdle} idle connections to each address. */
  public HttpClient(EventLoopGroup group, int maxBody, int maxIdle, ResponseMatching matching) {
    this(group, maxBody, maxIdle, matching, CONNECT_TIMEOUT_MS);
  }

  /**
   * Creates a client with a timeout for opening connections.
   *
   * @param connectTimeoutMs milliseconds
   */
  public HttpClient(
      EventLoopGroup group,
      int maxBody,
      int maxIdle,
      ResponseMatching matching,
      int connectTimeoutMs) {
    this.group = group;
    this.maxBody = maxBody;
    this.maxIdle = maxIdle;
    this.matching = matching;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Sends a call. The future fails with {@link HttpFailure}.
   *
   * @param requestId unique identifier of this request
   * @param timeoutMs time limit for sending the request and receiving the response, milliseconds
   */
  public CompletableFuture<HttpReply> send(
      InetSocketAddress address, HttpCall call, String requestId, long timeoutMs) {
    return send(address, call, requestId, CallTimeout.ofTotal(timeoutMs), () -> {});
  }

  /**
   * Sends a call. The future fails with {@link HttpFailure}.
   *
   * @param requestId unique identifier of this request
   * @param onResponseBegins runs once if bytes of the response arrive, before the future completes
   */
  public CompletableFuture<HttpReply> send(
      InetSocketAddress address,
      HttpCall call,
      String requestId,
      CallTimeout timeout,
      Runnable onResponseBegins) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    if (matching == ResponseMatching.BY_IDENTIFIER) {
      call.headers().set(REQUEST_HEADER, requestId);
    }
    HttpClientConnection pooled = acquireIdle(address);
    if (pooled != null) {
      exchange(pooled, address, call, requestId, timeout, onResponseBegins, result);
      return result;
    }
    connect(address)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                result.completeExceptionally(
                    new HttpFailure(
                        HttpFailure.Kind.NOT_SENT,
                        "cannot connect to " + address + ": " + failure));
                return;
              }
              exchange(connection, address, call, requestId, timeout, onResponseBegins, result);
            });
    return result;
  }

  /** Sets how many idle connections to each address are kept from now on. */
  public void setMaxIdle(int next) {
    maxIdle = next;
  }

  /** Closes idle connections to an address, for example because that host is draining. */
  public void closeIdle(InetSocketAddress address) {
    Deque<HttpClientConnection> connections = idle.remove(address);
    if (connections != null) {
      synchronized (connections) {
        connections.forEach(connection -> connection.channel().close());
      }
    }
  }

  private void exchange(
      HttpClientConnection connection,
      InetSocketAddress address,
      HttpCall call,
      String requestId,
      CallTimeout timeout,
      Runnable onResponseBegins,
      CompletableFuture<HttpReply> result) {
    connection
        .exchange(address, call, requestId, timeout, onResponseBegins)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                result.completeExceptionally(failure);
                return;
              }
              if (connection.reusable() && !requestsClose(call)) {
                releaseIdle(address, connection);
              } else {
                connection.channel().close();
              }
              result.complete(reply);
            });
  }

  private static boolean requestsClose(HttpCall call) {
    return call.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
  }

  private CompletableFuture<HttpClientConnection> connect(InetSocketAddress address) {
    CompletableFuture<HttpClientConnection> connected = new CompletableFuture<>();
    // Not looked up in the pipeline later, which is empty if the peer has closed already.
    ReceivedBytes receivedBytes = new ReceivedBytes();
    HttpClientConnection connection = new HttpClientConnection(matching, receivedBytes);
    new Bootstrap()
        .group(callerEventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(receivedBytes)
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(maxBody, true))
                    .addLast(connection);
              }
            })
        .connect(address)
        .addListener(
            (io.netty.channel.ChannelFuture future) -> {
              if (future.isSuccess()) {
                connected.complete(connection);
              } else {
                connected.completeExceptionally(future.cause());
              }
            });
    return connected;
  }

  private HttpClientConnection acquireIdle(InetSocketAddress address) {
    Deque<HttpClientConnection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    synchronized (connections) {
      connections.removeIf(connection -> !connection.channel().isActive());
      Iterator<HttpClientConnection> newestFirst = connections.descendingIterator();
      while (newestFirst.hasNext()) {
        HttpClientConnection connection = newestFirst.next();
        if (connection.channel().eventLoop().inEventLoop()) {
          newestFirst.remove();
          return connection;
        }
      }
      return connections.pollLast();
    }
  }

  // Connections on the calling event loop save two hand-overs between threads per request.
  private EventLoopGroup callerEventLoop() {
    for (EventExecutor executor : group) {
      if (executor.inEventLoop() && executor instanceof EventLoop loop) {
        return loop;
      }
    }
    return group;
  }

  private void releaseIdle(InetSocketAddress address, HttpClientConnection connection) {
    Deque<HttpClientConnection> connections =
        idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (connections) {
      if (connections.size() >= maxIdle) {
        connection.channel().close();
      } else {
        connections.addLast(connection);
      }
    }
  }
}
