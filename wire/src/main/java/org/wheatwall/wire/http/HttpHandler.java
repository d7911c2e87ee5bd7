package org.wheatwall.wire.http;

import java.util.concurrent.CompletableFuture;

/** Answers HTTP calls. Called on an event loop, so it must not block. */
public interface HttpHandler {
  /** Returns the response; a failed future is answered with a problem document. */
  CompletableFuture<HttpReply> handle(HttpCall call);
}
