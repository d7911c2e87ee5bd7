package org.wheatwall.wire.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletionException;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.json.Json;

/** Converts failures to problem documents (RFC 9457) that include the remedy. */
public final class Problems {
  private static final String TYPE_PREFIX = "urn:wheatwall:problem:";

  private Problems() {}

  /** Returns the response for a failure. */
  public static HttpReply reply(Throwable failure) {
    Throwable cause = unwrap(failure);
    if (cause instanceof Refusal refusal) {
      return reply(status(refusal.kind()), refusal);
    }
    return reply(
        500,
        new Refusal(
            RefusalKind.UNKNOWN,
            "unexpected failure: " + cause,
            "report this with the state dump of the entry host"));
  }

  /** Returns the response for a refusal with a given status. */
  public static HttpReply reply(int status, Refusal refusal) {
    ObjectNode document = Json.mapper().createObjectNode();
    document.put("type", TYPE_PREFIX + refusal.kind().label());
    document.put("title", refusal.kind().label());
    document.put("status", status);
    document.put("detail", refusal.detail());
    document.put("remedy", refusal.remedy());
    return HttpReply.json(status, Json.bytes(document))
        .with("Content-Type", "application/problem+json");
  }

  /** Returns the cause inside the {@link CompletionException}s that futures add. */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  private static int status(RefusalKind kind) {
    return switch (kind) {
      case INVALID -> 400;
      case UNAUTHENTICATED -> 401;
      case FORBIDDEN -> 403;
      case NOT_FOUND -> 404;
      case GUARANTEE_CLASH, FENCED -> 409;
      case STALE_VERSION -> 412;
      case TOO_LARGE -> 413;
      case LIMIT -> 429;
      case UNAVAILABLE -> 503;
      case UNKNOWN -> 504;
    };
  }
}
