package org.wheatwall.wire.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests, and rejects those with both a Content-Length and chunked encoding. Two servers
 * could frame such a request differently, so a second request could be smuggled past one of them
 * (RFC 9112, 6.3). Netty's default is to drop the length and continue.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
