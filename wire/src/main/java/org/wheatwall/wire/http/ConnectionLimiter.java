package org.wheatwall.wire.http;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the open connections of a server; further ones wait in the kernel's accept queue. */
final class ConnectionLimiter {
  private final int maxConnections;
  private final AtomicInteger open = new AtomicInteger();

  ConnectionLimiter(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a connection that was just accepted. */
  void add(Channel channel) {
    boolean full = open.incrementAndGet() >= maxConnections;
    if (full) {
      channel.parent().config().setAutoRead(false);
    }
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open.decrementAndGet();
              if (full) {
                channel.parent().config().setAutoRead(true);
              }
            });
  }

  /** Returns the number of open connections. */
  int open() {
    return open.get();
  }
}
