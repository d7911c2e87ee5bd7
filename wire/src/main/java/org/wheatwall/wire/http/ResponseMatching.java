package org.wheatwall.wire.http;

/** How a client matches responses to its requests. */
public enum ResponseMatching {
  /** The response echoes the request's identifier; without it the connection is not reused. */
  BY_IDENTIFIER,
  /** Responses are matched by their order on the connection, as usual in HTTP/1.1. */
  BY_ORDER
}
