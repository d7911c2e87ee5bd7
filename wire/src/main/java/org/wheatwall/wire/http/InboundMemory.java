package org.wheatwall.wire.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wheatwall.core.common.Names;

/**
 * Limits the memory that callers make a process hold outside of calls in flight: requests that have
 * not arrived completely or that wait behind another, and responses that their callers do not read.
 * One instance is shared by all servers of a process, so that the limit holds for their sum. Each
 * event loop has an equal part, which is accounted for without locks.
 */
public final class InboundMemory {
  private static final int HEAP_DIVISOR = 10;
  private static final long MAX_DEFAULT_BYTES = 64L * 1024 * 1024;

  // Estimated size of the objects for a header block of the largest size in the shortest lines.
  private static final int MAX_HEADER_BYTES = 512 * 1024;

  private final long maxBytesPerLoop;
  private final Map<EventLoop, LoopMemory> loops = new ConcurrentHashMap<>();

  /**
   * Creates a limit.
   *
   * @param maxBytes limit of the process, bytes; raised if the part of an event loop could not hold
   *     one request with a body of {@code maxBody} bytes
   */
  public InboundMemory(long maxBytes, EventLoopGroup group, int maxBody) {
    Names.requireRange("maxBodyBytes", maxBody, 1, Integer.MAX_VALUE);
    // A body that grows is held twice while it is copied.
    long largestRequest = 2L * maxBody + MAX_HEADER_BYTES;
    maxBytesPerLoop = Math.max(maxBytes / countLoops(group), largestRequest);
  }

  /** Returns a limit of a tenth of the largest heap, 64 MB at most. */
  public static InboundMemory ofHeap(EventLoopGroup group, int maxBody) {
    long share = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    return new InboundMemory(Math.min(share, MAX_DEFAULT_BYTES), group, maxBody);
  }

  private static int countLoops(EventLoopGroup group) {
    int count = 0;
    for (EventExecutor ignored : group) {
      count++;
    }
    return Math.max(1, count);
  }

  LoopMemory of(EventLoop loop) {
    return loops.computeIfAbsent(loop, key -> new LoopMemory(maxBytesPerLoop));
  }

  /** Returns the estimated size of what callers hold, bytes. */
  public long heldBytes() {
    return loops.values().stream().mapToLong(LoopMemory::heldBytes).sum();
  }
}
