package org.wheatwall.wire.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Headers of a request that count the memory of their lines while they are received. */
final class CountedHeaders extends DefaultHttpHeaders {
  // Objects for an entry, its name and its value on a 64-bit virtual machine.
  private static final int LINE_BYTES = 160;

  private final ConnectionMemory memory;
  private int bytes;
  private boolean counting = true;

  CountedHeaders(ConnectionMemory memory) {
    this.memory = memory;
  }

  static HttpHeadersFactory factory(ConnectionMemory memory) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new CountedHeaders(memory);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new CountedHeaders(memory);
      }
    };
  }

  /** Counts bytes that belong to the same request. */
  boolean addBytes(int added) {
    if (!memory.add(added)) {
      return false;
    }
    bytes += added;
    return true;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    if (counting && !addBytes(LINE_BYTES + name.length() + value.toString().length())) {
      return this;
    }
    return super.add(name, value);
  }

  /** Stops counting changes; returns the estimated size, which stays counted, bytes. */
  int complete() {
    counting = false;
    return bytes;
  }

  /** Removes all lines. Used after the memory of the connection was discarded. */
  void discard() {
    clear();
  }
}
