package org.wheatwall.entry.request;

import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.request.model.Answer;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;

/** The one outcome of a request and what the caller gets. */
record CallResult(Outcome outcome, HttpReply reply) {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Returns the runner's answer. */
  static CallResult answered(HttpReply fromRunner) {
    return new CallResult(
        Outcome.ANSWERED,
        new HttpReply(
            fromRunner.status(),
            CallRequest.removeHopByHopHeaders(fromRunner.headers()),
            fromRunner.body()));
  }

  /** Returns a kept answer. */
  static CallResult retained(Answer answer) {
    HttpReply reply = HttpReply.text(answer.status(), "");
    return new CallResult(
        Outcome.ANSWERED,
        new HttpReply(answer.status(), reply.headers(), answer.body())
            .with("Content-Type", answer.contentType()));
  }

  /** Returns a refusal of a request that did not run. */
  static CallResult notRun(Refusal refusal, int retryAfterSeconds) {
    int status =
        switch (refusal.kind()) {
          case INVALID -> BAD_REQUEST;
          case NOT_FOUND -> NOT_FOUND;
          case TOO_LARGE -> TOO_LARGE;
          case LIMIT -> TOO_MANY_REQUESTS;
          default -> UNAVAILABLE;
        };
    HttpReply reply = Problems.reply(status, refusal);
    boolean mayRepeat = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    return new CallResult(
        Outcome.NOT_RUN,
        mayRepeat ? reply.with("Retry-After", String.valueOf(retryAfterSeconds)) : reply);
  }

  /** Returns the reply for a request of which nobody knows whether it ran. */
  static CallResult unknown(String detail, String remedy) {
    Refusal refusal = new Refusal(RefusalKind.UNKNOWN, detail, remedy);
    return new CallResult(Outcome.UNKNOWN, Problems.reply(GATEWAY_TIMEOUT, refusal));
  }
}
