package org.wheatwall.wire.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The memory that callers' connections on one event loop hold. Used on that event loop only, so
 * that what a connection gives up is free at once.
 */
final class LoopMemory {
  private final long maxBytes;
  private final Set<ConnectionMemory> connections = new HashSet<>();
  private volatile long heldBytes;

  LoopMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds a connection.
   *
   * @param onEvicted closes the connection; its memory is no longer counted when this runs
   */
  ConnectionMemory open(Runnable onEvicted) {
    ConnectionMemory connection = new ConnectionMemory(this, onEvicted);
    connections.add(connection);
    return connection;
  }

  void close(ConnectionMemory connection) {
    connections.remove(connection);
  }

  /** Adds bytes; while the total is above the limit, evicts connections. */
  void add(long bytes) {
    setHeldBytes(heldBytes + bytes);
    while (bytes > 0 && heldBytes > maxBytes) {
      Optional<ConnectionMemory> costliest = costliest(System.nanoTime());
      if (costliest.isEmpty()) {
        return;
      }
      costliest.get().evict();
    }
  }

  // Written by one thread, read by others for metrics.
  private void setHeldBytes(long bytes) {
    heldBytes = bytes;
  }

  // Among the connections that hold more than an equal part of the limit, so that a caller with an
  // ordinary request is not evicted for a crowd of larger ones, the one that has held most bytes
  // for longest.
  private Optional<ConnectionMemory> costliest(long nowNanos) {
    long equalPart = maxBytes / connections.size();
    return connections.stream()
        .filter(connection -> connection.heldBytes() > equalPart)
        .max(Comparator.comparingDouble(connection -> connection.byteSeconds(nowNanos)));
  }

  long heldBytes() {
    return heldBytes;
  }
}
