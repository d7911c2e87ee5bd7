package org.wheatwall.wire.http;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.common.Refusal;

/** Handles HTTP calls. Called on an event loop, so it must not block. */
public interface HttpHandler {
  /** Returns the response; a failed future is answered with a problem document. */
  CompletableFuture<HttpReply> handle(HttpCall call);

  /**
   * Returns the response to a request that is refused before it reaches {@link #handle}.
   *
   * @param target path and query as far as they could be read
   */
  default HttpReply refuse(String target, Refusal refusal) {
    return Problems.reply(refusal);
  }
}
