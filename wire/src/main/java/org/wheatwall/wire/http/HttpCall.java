package org.wheatwall.wire.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP request.
 *
 * @param method method name
 * @param target path and query as sent
 * @param headers headers
 * @param body bytes; not copied
 */
public record HttpCall(String method, String target, HttpHeaders headers, byte[] body) {
  private static final byte[] NO_BODY = new byte[0];

  /** Returns a call without a body. */
  public static HttpCall of(String method, String target) {
    return new HttpCall(method, target, new DefaultHttpHeaders(), NO_BODY);
  }

  /** Returns a call with a text body. */
  public static HttpCall of(String method, String target, String body) {
    return new HttpCall(
        method, target, new DefaultHttpHeaders(), body.getBytes(StandardCharsets.UTF_8));
  }

  /** Sets a header and returns this call. */
  public HttpCall with(String name, String value) {
    headers.set(name, value);
    return this;
  }

  /** Returns the decoded path. */
  public String path() {
    return new QueryStringDecoder(target).path();
  }

  /** Returns the first value of a query parameter. */
  public Optional<String> query(String name) {
    List<String> values = new QueryStringDecoder(target).parameters().get(name);
    return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
  }

  /** Returns a header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
