package org.wheatwall.wire.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.wheatwall.wire.message.Envelope;

/** Codec for frames of a four-byte length and an {@link Envelope}. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, Envelope> {
  /** Maximum size of a frame, bytes. */
  static final int MAX_FRAME = 4 * 1024 * 1024;

  private PeerCodec() {}

  /** Adds the codec; returns the decoder of frames, which accepts only small ones at first. */
  static PeerFrameDecoder addTo(ChannelPipeline pipeline) {
    PeerFrameDecoder decoder = new PeerFrameDecoder(MAX_FRAME);
    pipeline
        .addLast(decoder)
        .addLast(new LengthFieldPrepender(PeerFrameDecoder.LENGTH_BYTES))
        .addLast(new PeerCodec());
    return decoder;
  }

  @Override
  protected void encode(ChannelHandlerContext context, Envelope message, List<Object> out)
      throws IOException {
    ByteBuf buffer = context.alloc().buffer(message.getSerializedSize());
    try (ByteBufOutputStream stream = new ByteBufOutputStream(buffer)) {
      message.writeTo(stream);
    }
    out.add(buffer);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
      throws IOException {
    try (ByteBufInputStream stream = new ByteBufInputStream(frame)) {
      out.add(Envelope.parseFrom(stream));
    }
  }
}
