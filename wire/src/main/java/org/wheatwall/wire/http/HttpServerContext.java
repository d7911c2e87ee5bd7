package org.wheatwall.wire.http;

/** What all connections of a server share. */
record HttpServerContext(
    HttpHandler handler, int maxBody, CallLimiter calls, Rejections rejections) {}
