package org.wheatwall.app.soak;

import java.util.Optional;
import org.wheatwall.wire.http.HttpReply;

/**
 * What became of a call.
 *
 * @param sent whether the call may have reached the host
 * @param reply the answer, empty if none came
 * @param incarnation life of the host's process when the call was sent, empty if another one
 *     answered
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

  /** Returns the status, 0 without an answer. */
  int status() {
    return reply.map(HttpReply::status).orElse(0);
  }

  boolean isOk() {
    return status() == OK;
  }

  boolean isGone() {
    return status() == GONE;
  }

  /** Returns whether the answer says that nothing was done; so does a call that was never sent. */
  boolean isRefused() {
    return !sent || status() == 503 || status() == 429;
  }

  /** Returns whether the call's fate is not known. */
  boolean isOutcomeUnknown() {
    return sent && (reply.isEmpty() || status() == 502 || status() == 504);
  }

  /** Returns whether the connection ended without a whole answer. */
  boolean isConnectionLost() {
    return sent && reply.isEmpty();
  }
}
