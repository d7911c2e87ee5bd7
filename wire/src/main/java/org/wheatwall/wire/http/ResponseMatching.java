package org.wheatwall.wire.http;

/** How a client knows that an answer belongs to its request. */
public enum ResponseMatching {
  /** The answer repeats the request's identifier; without it the connection is not used again. */
  BY_IDENTIFIER,
  /** The order on the connection is trusted, as usual in HTTP/1.1. */
  BY_ORDER
}
