package org.wheatwall.wire.peer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wheatwall.wire.http.RejectionReason;
import org.wheatwall.wire.http.Rejections;

/**
 * The connections whose peers have not proved the key yet. Beyond a number of them the oldest is
 * closed, and each after a timeout.
 */
final class UnauthenticatedConnections {
  private final int maxConnections;
  private final long timeoutMs;
  private final Rejections rejections;

  // From the oldest to the newest, with the task that closes the connection.
  private final Map<Channel, Future<?>> connections = new LinkedHashMap<>();

  UnauthenticatedConnections(int maxConnections, long timeoutMs, Rejections rejections) {
    this.maxConnections = maxConnections;
    this.timeoutMs = timeoutMs;
    this.rejections = rejections;
  }

  /** Adds a connection that was just accepted; called on its event loop. */
  void add(Channel channel) {
    Future<?> timeout =
        channel
            .eventLoop()
            .schedule(
                () -> close(channel, RejectionReason.REQUEST_TIMEOUT),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> remove(channel));
    oldestBeyondLimit(channel, timeout)
        .ifPresent(oldest -> close(oldest, RejectionReason.CONNECTION_LIMIT));
  }

  private synchronized Optional<Channel> oldestBeyondLimit(Channel added, Future<?> timeout) {
    connections.put(added, timeout);
    return connections.size() > maxConnections
        ? Optional.of(connections.keySet().iterator().next())
        : Optional.empty();
  }

  /** Removes a connection that is authenticated or closed. */
  void remove(Channel channel) {
    Optional<Future<?>> timeout;
    synchronized (this) {
      timeout = Optional.ofNullable(connections.remove(channel));
    }
    timeout.ifPresent(task -> task.cancel(false));
  }

  private void close(Channel channel, RejectionReason reason) {
    rejections.record(reason, channel, 0, "the peer is not authenticated");
    channel.close();
  }
}
