package org.wheatwall.wire.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status status code
 * @param headers headers
 * @param body bytes; not copied
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {
  private static final byte[] NO_BODY = new byte[0];
  private static final String CONTENT_TYPE = "Content-Type";

  /** Returns a response without a body. */
  public static HttpReply empty(int status) {
    return new HttpReply(status, new DefaultHttpHeaders(), NO_BODY);
  }

  /** Returns a JSON response. */
  public static HttpReply json(int status, byte[] body) {
    return new HttpReply(
        status, new DefaultHttpHeaders().set(CONTENT_TYPE, "application/json"), body);
  }

  /** Returns a plain text response. */
  public static HttpReply text(int status, String text) {
    HttpHeaders headers = new DefaultHttpHeaders().set(CONTENT_TYPE, "text/plain; charset=utf-8");
    return new HttpReply(status, headers, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sets a header and returns this response. */
  public HttpReply with(String name, String value) {
    headers.set(name, value);
    return this;
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
