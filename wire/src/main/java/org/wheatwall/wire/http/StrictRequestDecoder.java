package org.wheatwall.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;

/**
 * Decodes requests and counts the memory that they take while they arrive. Rejects requests with
 * both a Content-Length and chunked encoding: two servers could frame such a request differently,
 * so a second request could be smuggled past one of them (RFC 9112, 6.3). Netty's default is to
 * drop the length and continue.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  // The request object and the array that holds the parts of its first line.
  private static final int REQUEST_BYTES = 256;

  // The parser copies each line to a buffer that it keeps. That of ordinary lines counts as part of
  // the connection.
  private static final int FREE_SCRATCH_BYTES = 1024;
  private static final int MAX_SCRATCH_BYTES = 8192;

  private final ConnectionMemory memory;
  private Optional<CountedHeaders> headers = Optional.empty();
  private int bufferBytes;
  private int lineBytes;
  private int scratchBytes = FREE_SCRATCH_BYTES;
  private boolean inRequest;
  private boolean receiving;
  private long receivingSinceNanos;

  StrictRequestDecoder(ConnectionMemory memory) {
    super(
        new HttpDecoderConfig()
            .setHeadersFactory(CountedHeaders.factory(memory))
            .setTrailersFactory(DiscardedTrailers.FACTORY));
    this.memory = memory;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    countBuffer();
    boolean incomplete = inRequest || internalBuffer().isReadable();
    if (incomplete && !receiving) {
      receivingSinceNanos = System.nanoTime();
    }
    receiving = incomplete;
  }

  private void countBuffer() {
    int capacity = internalBuffer().isReadable() ? internalBuffer().capacity() : 0;
    int before = bufferBytes;
    bufferBytes = capacity;
    if (capacity > before) {
      memory.add(capacity - before);
    } else if (capacity < before) {
      memory.remove(before - capacity);
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    inRequest = true;
    HttpMessage message = super.createMessage(initialLine);
    if (message.headers() instanceof CountedHeaders counted) {
      headers = Optional.of(counted);
      counted.addBytes(REQUEST_BYTES + initialLine[1].length());
    }
    return message;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    int before = buffer.readableBytes();
    super.decode(context, buffer, out);
    int consumed = before - buffer.readableBytes();
    retainScratch(consumed - contentBytes(out));
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      onRequestComplete();
    }
  }

  private static int contentBytes(List<Object> parts) {
    int bytes = 0;
    for (Object part : parts) {
      bytes += part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
    return bytes;
  }

  // No line is longer than all lines of the request, nor than the codec's limits.
  private void retainScratch(int addedLineBytes) {
    lineBytes = Math.min(MAX_SCRATCH_BYTES, lineBytes + addedLineBytes);
    if (lineBytes > scratchBytes) {
      memory.retain(lineBytes - scratchBytes);
      scratchBytes = lineBytes;
    }
  }

  private void onRequestComplete() {
    inRequest = false;
    receiving = false;
    lineBytes = 0;
    headers = Optional.empty();
  }

  /** Returns whether a request has arrived in part. */
  boolean isReceiving() {
    return receiving || inRequest;
  }

  /** Returns when the first bytes of the request arrived, in the time of System.nanoTime. */
  long receivingSinceNanos() {
    return receivingSinceNanos;
  }

  /** Drops the header lines received so far. */
  void discard() {
    headers.ifPresent(CountedHeaders::discard);
    headers = Optional.empty();
  }
}
