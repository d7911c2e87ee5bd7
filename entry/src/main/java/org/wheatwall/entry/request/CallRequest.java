package org.wheatwall.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.wire.http.HttpCall;

/**
 * A validated request of a caller.
 *
 * @param service name of the called service
 * @param target path and query for the runner
 * @param key idempotency key of a step that must not run twice
 * @param issuedMs wall clock time at which the caller first issued the step, if given
 * @param deadlineMs time within which the caller wants a response, milliseconds
 */
record CallRequest(
    HttpCall call,
    String service,
    String target,
    String workspace,
    Optional<String> key,
    Optional<Long> issuedMs,
    long deadlineMs) {
  static final String PREFIX = "/call/";
  static final String KEY_HEADER = "Idempotency-Key";
  static final String ISSUED_HEADER = "Wheatwall-Issued-Ms";
  static final String DEADLINE_HEADER = "Wheatwall-Deadline-Ms";
  static final String WORKSPACE_HEADER = "Wheatwall-Workspace";
  static final String OUTCOME_HEADER = "Wheatwall-Outcome";

  private static final String DEFAULT_WORKSPACE = "default";
  private static final int MAX_KEY_LENGTH = 128;
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
  private static final List<String> HOP_BY_HOP_HEADERS =
      List.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "expect",
          "wheatwall-request",
          "wheatwall-outcome",
          "wheatwall-not-run");

  /** Parses a request. Throws a {@link Refusal} if its names or headers are malformed. */
  static CallRequest parse(HttpCall call, int defaultDeadlineMs, int maxDeadlineMs) {
    String rest = call.target().substring(PREFIX.length());
    int end = rest.length();
    for (int i = 0; i < rest.length() && end == rest.length(); i++) {
      if (rest.charAt(i) == '/' || rest.charAt(i) == '?') {
        end = i;
      }
    }
    String target = rest.substring(end);
    return new CallRequest(
        call,
        Names.require("service", rest.substring(0, end)),
        target.startsWith("/") ? target : "/" + target,
        Names.require("workspace", call.header(WORKSPACE_HEADER).orElse(DEFAULT_WORKSPACE)),
        key(call),
        number(call, ISSUED_HEADER).filter(issued -> issued > 0),
        deadline(call, defaultDeadlineMs, maxDeadlineMs));
  }

  /** Returns whether the request may be sent again although it may have run. */
  boolean isRetryable() {
    return key.isEmpty() && IDEMPOTENT_METHODS.contains(call.method());
  }

  /** Removes the headers that must not be forwarded in either direction (RFC 9110, 7.6.1). */
  static HttpHeaders removeHopByHopHeaders(HttpHeaders headers) {
    String connection = headers.get("Connection");
    if (connection != null) {
      for (String name : connection.split(",", -1)) {
        headers.remove(name.trim());
      }
    }
    HOP_BY_HOP_HEADERS.forEach(headers::remove);
    return headers;
  }

  /** Returns the call to send to a runner. */
  HttpCall toRunnerCall(long remainingMs) {
    HttpHeaders headers = removeHopByHopHeaders(call.headers());
    headers.set(DEADLINE_HEADER, remainingMs);
    return new HttpCall(call.method(), target, headers, call.body());
  }

  private static Optional<String> key(HttpCall call) {
    Optional<String> key = call.header(KEY_HEADER);
    if (call.headers().getAll(KEY_HEADER).size() > 1) {
      throw Refusal.invalid("more than one " + KEY_HEADER, "send one");
    }
    key.ifPresent(
        text -> {
          boolean printable = text.chars().allMatch(c -> c > ' ' && c < 127);
          if (text.isEmpty() || text.length() > MAX_KEY_LENGTH || !printable) {
            throw Refusal.invalid(
                KEY_HEADER + " is malformed",
                "use 1 to " + MAX_KEY_LENGTH + " printable characters");
          }
        });
    return key;
  }

  private static long deadline(HttpCall call, int defaultDeadlineMs, int maxDeadlineMs) {
    long requestedMs = number(call, DEADLINE_HEADER).orElse((long) defaultDeadlineMs);
    if (requestedMs <= 0) {
      throw Refusal.invalid(
          DEADLINE_HEADER + " is " + requestedMs, "give the milliseconds left, above 0");
    }
    return Math.min(requestedMs, maxDeadlineMs);
  }

  private static Optional<Long> number(HttpCall call, String header) {
    try {
      return call.header(header).map(text -> Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      throw Refusal.invalid(
          header + " is \"" + call.header(header).orElse("") + "\"", "give a whole number");
    }
  }
}
