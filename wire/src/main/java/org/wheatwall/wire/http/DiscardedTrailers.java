package org.wheatwall.wire.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Trailer lines, which are validated and not kept, because no call uses them. */
final class DiscardedTrailers extends DefaultHttpHeaders {
  static final HttpHeadersFactory FACTORY =
      new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
          return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
          return new DiscardedTrailers();
        }
      };

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    return super.add(name, value).clear();
  }
}
