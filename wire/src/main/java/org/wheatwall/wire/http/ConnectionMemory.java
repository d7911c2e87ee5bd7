package org.wheatwall.wire.http;

import java.util.concurrent.TimeUnit;

/**
 * The estimated memory that a connection of a caller holds outside of calls in flight. Used on the
 * connection's event loop only.
 */
final class ConnectionMemory {
  private final LoopMemory loop;
  private final Runnable onEvicted;
  private long heldBytes;
  private long retainedBytes;
  private long sinceNanos = System.nanoTime();
  private boolean discarded;

  ConnectionMemory(LoopMemory loop, Runnable onEvicted) {
    this.loop = loop;
    this.onEvicted = onEvicted;
  }

  /**
   * Adds bytes, which may evict this or other connections of the event loop.
   *
   * @return whether the connection may hold them; if not, they must be dropped
   */
  boolean add(long bytes) {
    if (discarded) {
      return false;
    }
    if (heldBytes == 0) {
      sinceNanos = System.nanoTime();
    }
    heldBytes += bytes;
    loop.add(bytes);
    return !discarded;
  }

  /** Adds bytes that the connection keeps until it is closed. */
  void retain(long bytes) {
    if (!discarded) {
      retainedBytes += bytes;
      loop.add(bytes);
    }
  }

  /** Subtracts bytes that the connection holds no longer. */
  void remove(long bytes) {
    if (!discarded && bytes > 0) {
      heldBytes -= bytes;
      loop.add(-bytes);
      if (heldBytes == 0) {
        sinceNanos = System.nanoTime();
      }
    }
  }

  /** Stops counting; the connection must drop everything and may hold nothing more. */
  void discard() {
    if (!discarded) {
      discarded = true;
      loop.add(-heldBytes - retainedBytes);
    }
  }

  /** Removes the connection, which is closed. */
  void close() {
    discard();
    loop.close(this);
  }

  void evict() {
    discard();
    onEvicted.run();
  }

  /** Returns the bytes held; after {@link #discard} 0. */
  long heldBytes() {
    return discarded ? 0 : latestHeldBytes();
  }

  /** Returns the bytes held, or those held when they were discarded. */
  long latestHeldBytes() {
    return heldBytes + retainedBytes;
  }

  /** Returns the bytes held times the seconds since a request or response began or ended. */
  double byteSeconds(long nowNanos) {
    return (double) heldBytes() * (nowNanos - sinceNanos) / TimeUnit.SECONDS.toNanos(1);
  }
}
