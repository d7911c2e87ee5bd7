package org.wheatwall.entry.request;

import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.core.request.model.RunnerResponse;
import org.wheatwall.wire.http.HttpReply;
import org.wheatwall.wire.http.Problems;

/** The outcome of a request and the reply to its caller. */
record CallResult(Outcome outcome, HttpReply reply) {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Returns the result of a request that a runner answered. */
  static CallResult answered(HttpReply fromRunner) {
    return new CallResult(
        Outcome.ANSWERED,
        new HttpReply(
            fromRunner.status(),
            CallRequest.removeHopByHopHeaders(fromRunner.headers()),
            fromRunner.body()));
  }

  /** Returns the result of a step whose response was retained by an earlier attempt. */
  static CallResult retained(RunnerResponse response) {
    HttpReply reply = HttpReply.text(response.status(), "");
    return new CallResult(
        Outcome.ANSWERED,
        new HttpReply(response.status(), reply.headers(), response.body())
            .with("Content-Type", response.contentType()));
  }

  /** Returns the result of a request that was refused and did not run. */
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
    boolean retryable = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    return new CallResult(
        Outcome.NOT_RUN,
        retryable ? reply.with("Retry-After", String.valueOf(retryAfterSeconds)) : reply);
  }

  /** Returns the result of a request that may or may not have run. */
  static CallResult unknown(String detail, String remedy) {
    Refusal refusal = new Refusal(RefusalKind.UNKNOWN, detail, remedy);
    return new CallResult(Outcome.UNKNOWN, Problems.reply(GATEWAY_TIMEOUT, refusal));
  }
}
