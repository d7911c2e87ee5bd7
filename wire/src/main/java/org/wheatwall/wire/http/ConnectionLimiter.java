package org.wheatwall.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the open connections of a server. When the last one that the limit allows is opened, the
 * one that has had no call for longest is closed, so that connections without calls do not keep
 * other callers out. While all of them have calls, further ones wait in the kernel's accept queue.
 */
final class ConnectionLimiter {
  private final int maxConnections;
  private final AtomicInteger open = new AtomicInteger();
  private volatile boolean paused;

  // Each set is used on its event loop only.
  private final Map<EventLoop, Set<HttpServerConnection>> connections = new ConcurrentHashMap<>();

  ConnectionLimiter(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a connection that was just accepted; called on its event loop. */
  void add(Channel channel, HttpServerConnection connection) {
    Set<HttpServerConnection> sameLoop =
        connections.computeIfAbsent(channel.eventLoop(), loop -> new HashSet<>());
    sameLoop.add(connection);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              sameLoop.remove(connection);
              open.decrementAndGet();
              resume(channel.parent());
            });
    if (open.incrementAndGet() >= maxConnections
        && !closeLongestWithoutCall(sameLoop, connection)) {
      pause(channel.parent(), sameLoop, connection);
    }
  }

  private static boolean closeLongestWithoutCall(
      Set<HttpServerConnection> candidates, HttpServerConnection newest) {
    Optional<HttpServerConnection> longest =
        candidates.stream()
            .filter(connection -> connection != newest && !connection.isHandlingCall())
            .max(Comparator.comparingLong(HttpServerConnection::nanosWithoutCall));
    longest.ifPresent(connection -> connection.giveUp(RejectionReason.CONNECTION_LIMIT));
    return longest.isPresent();
  }

  private void pause(
      Channel listener, Set<HttpServerConnection> searched, HttpServerConnection newest) {
    listener.config().setAutoRead(false);
    paused = true;
    for (Map.Entry<EventLoop, Set<HttpServerConnection>> loop : connections.entrySet()) {
      Set<HttpServerConnection> others = loop.getValue();
      if (others != searched) {
        loop.getKey().execute(() -> closeUnlessResumed(others, newest));
      }
    }
    // A connection that closed before this was paused has not resumed it.
    if (open.get() < maxConnections) {
      resume(listener);
    }
  }

  private void closeUnlessResumed(
      Set<HttpServerConnection> candidates, HttpServerConnection newest) {
    if (paused) {
      closeLongestWithoutCall(candidates, newest);
    }
  }

  private void resume(Channel listener) {
    if (paused) {
      paused = false;
      listener.config().setAutoRead(true);
    }
  }

  /** Returns whether callers wait for a connection; then connections close after a response. */
  boolean isFull() {
    return paused;
  }

  /** Returns the number of open connections. */
  int open() {
    return open.get();
  }
}
