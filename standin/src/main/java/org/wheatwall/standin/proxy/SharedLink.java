package org.wheatwall.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A link with a data rate that several connections share fairly. What a connection has queued is
 * lost when its receiver closes it.
 */
final class SharedLink {
  private static final int TICK_MS = 10;
  private static final int SEGMENT_BYTES = 1460;
  // A sender is held up beyond this, as by a small window.
  private static final int MAX_QUEUED_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final Map<Channel, Flow> flows = new HashMap<>();
  private final Deque<Flow> sending = new ArrayDeque<>();
  private volatile long bytesPerSecond;
  private boolean ticking;

  private static final class Flow {
    private final Channel sender;
    private final Channel receiver;
    private final Deque<ByteBuf> queue = new ArrayDeque<>();
    private int queuedBytes;
    private boolean senderClosed;

    private Flow(Channel sender, Channel receiver) {
      this.sender = sender;
      this.receiver = receiver;
    }

    private void release() {
      queue.forEach(ByteBuf::release);
      queue.clear();
      queuedBytes = 0;
    }
  }

  SharedLink(EventLoop loop) {
    this.loop = loop;
  }

  /** Sets the data rate, bytes a second; 0 for no limit. */
  void setBytesPerSecond(long rate) {
    bytesPerSecond = rate;
  }

  /** Returns whether data goes through this link. */
  boolean isLimited() {
    return bytesPerSecond > 0;
  }

  /** Queues data; takes over the buffer. */
  void send(Channel sender, Channel receiver, ByteBuf bytes) {
    loop.execute(() -> enqueue(sender, receiver, bytes));
  }

  /** Closes the receiver once everything queued for it is sent. */
  void closeAfterQueued(Channel sender, Channel receiver) {
    loop.execute(
        () -> {
          Flow flow = flows.get(receiver);
          if (flow == null || flow.queue.isEmpty()) {
            receiver.close();
          } else {
            flow.senderClosed = true;
          }
        });
  }

  private void enqueue(Channel sender, Channel receiver, ByteBuf bytes) {
    if (!receiver.isActive()) {
      bytes.release();
      return;
    }
    Flow flow = flows.computeIfAbsent(receiver, key -> add(sender, receiver));
    if (flow.queue.isEmpty()) {
      sending.add(flow);
    }
    flow.queue.add(bytes);
    flow.queuedBytes += bytes.readableBytes();
    if (flow.queuedBytes > MAX_QUEUED_BYTES) {
      sender.config().setAutoRead(false);
    }
    startTicking();
  }

  private Flow add(Channel sender, Channel receiver) {
    Flow flow = new Flow(sender, receiver);
    receiver
        .closeFuture()
        .addListener(
            closed ->
                loop.execute(
                    () -> {
                      flows.remove(receiver);
                      sending.remove(flow);
                      flow.release();
                    }));
    return flow;
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    ticking = false;
    long budget = isLimited() ? bytesPerSecond * TICK_MS / 1000 : Long.MAX_VALUE;
    while (budget > 0 && !sending.isEmpty()) {
      budget -= sendSegment(sending.poll());
    }
    if (!sending.isEmpty()) {
      startTicking();
    }
  }

  private int sendSegment(Flow flow) {
    ByteBuf head = flow.queue.peek();
    int size = Math.min(SEGMENT_BYTES, head.readableBytes());
    flow.receiver.writeAndFlush(head.readRetainedSlice(size));
    flow.queuedBytes -= size;
    if (!head.isReadable()) {
      flow.queue.poll().release();
    }
    if (!flow.queue.isEmpty()) {
      sending.add(flow);
    } else if (flow.senderClosed) {
      flow.receiver.close();
    }
    if (flow.queuedBytes < MAX_QUEUED_BYTES / 2) {
      flow.sender.config().setAutoRead(true);
    }
    return size;
  }
}
