package org.wheatwall.wire.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests, and takes one with both a length and chunked encoding as malformed. Two servers
 * could split it differently, so a second request could be smuggled past one of them (RFC 9112,
 * 6.3); the codec's own way is to drop the length and go on.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
