package org.wheatwall.wire.peer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/**
 * Decodes frames. Until the peer is authenticated, it accepts only frames of the size of a first
 * message, so that others cannot make this host hold more.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {
  static final int LENGTH_BYTES = 4;

  private static final int MAX_FIRST_FRAME = 4096;

  private boolean acceptsLargeFrames;

  PeerFrameDecoder(int maxFrame) {
    super(maxFrame, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /** Accepts frames up to the maximum size from now on. */
  void acceptLargeFrames() {
    acceptsLargeFrames = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long size = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!acceptsLargeFrames && size > MAX_FIRST_FRAME) {
      throw new TooLongFrameException("a first frame of " + size + " bytes");
    }
    return size;
  }
}
