package org.wheatwall.app.soak;

import java.util.Optional;
import org.wheatwall.wire.http.HttpReply;

/**
 * The outcome of a call to a host.
 *
 * @param sent whether the call may have reached the host
 * @param reply the response, empty if none was received
 * @param incarnation incarnation of the host's process when the call was sent, empty if the process
 *     was restarted before the call ended
 */
record CallResult(
    int host,
    boolean sent,
    Optional<HttpReply> reply,
    Optional<Integer> incarnation,
    long sentAtMs,
    long endedAtMs) {
  private static final int OK = 200;
  private static final int GONE = 410;

  /** Returns the HTTP status, 0 without a response. */
  int status() {
    return reply.map(HttpReply::status).orElse(0);
  }

  boolean isOk() {
    return status() == OK;
  }

  boolean isGone() {
    return status() == GONE;
  }

  /** Returns whether the call had no effect: the host refused it, or it was never sent. */
  boolean isRefused() {
    return !sent || status() == 503 || status() == 429;
  }

  /** Returns whether the host may or may not have carried the call out. */
  boolean isOutcomeUnknown() {
    return sent && (reply.isEmpty() || status() == 502 || status() == 504);
  }

  /** Returns whether the connection ended before a complete response was received. */
  boolean isConnectionLost() {
    return sent && reply.isEmpty();
  }
}
