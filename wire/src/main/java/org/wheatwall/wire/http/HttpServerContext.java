package org.wheatwall.wire.http;

/**
 * What all connections of a server share.
 *
 * @param requestTimeoutNanos time within which a request must arrive completely
 */
record HttpServerContext(
    HttpHandler handler,
    int maxBody,
    long requestTimeoutNanos,
    CallLimiter calls,
    ConnectionLimiter connections,
    Rejections rejections) {}
