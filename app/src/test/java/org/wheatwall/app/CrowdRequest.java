package org.wheatwall.app;

import java.nio.charset.StandardCharsets;

/** What each connection of a {@link ClientCrowd} sends. Every part is legal HTTP/1.1. */
enum CrowdRequest {
  /** Header lines of four bytes that never end. */
  UNFINISHED_HEADERS(900),
  /** Whole headers of short lines, and a body that never ends. */
  HEADERS_BEFORE_UNFINISHED_BODY(900),
  /** An empty chunked body, and trailer lines that never end. */
  UNFINISHED_TRAILERS(900),
  /** A complete request of many short header lines. */
  WHOLE_HEADERS(900),
  /** A complete request, and behind it one of many short header lines that never ends. */
  UNFINISHED_HEADERS_BEHIND_ANOTHER(900),
  /** All of a large body but its last bytes. */
  UNFINISHED_LARGE_BODY(150),
  /** A body in chunks of one byte that never ends. */
  ONE_BYTE_CHUNKS(100),
  /** Nothing at all. */
  NOTHING(1200),
  /** The first byte of a request. */
  FIRST_BYTE(1200),
  /** Complete requests whose responses are large; they are not read. */
  UNREAD_RESPONSES(400);

  private static final int HEADER_LINES = 1900;
  private static final int BODY_BYTES = 200_000;
  private static final int CHUNKS = 30_000;

  private final int connections;

  CrowdRequest(int connections) {
    this.connections = connections;
  }

  /** Returns the number of connections of the crowd. */
  int connections() {
    return connections;
  }

  /** Returns whether the crowd reads what the server sends. */
  boolean readsResponses() {
    return this != UNREAD_RESPONSES;
  }

  /** Returns the bytes that a connection sends to {@code path}. */
  byte[] bytes(String path) {
    String get = "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    String post = "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    String chunked = post + "Transfer-Encoding: chunked\r\n";
    String large = post + "Content-Length: " + BODY_BYTES + "\r\n";
    String shortLines = "a:\r\n".repeat(HEADER_LINES);
    String text =
        switch (this) {
          case UNFINISHED_HEADERS -> get + shortLines;
          case HEADERS_BEFORE_UNFINISHED_BODY ->
              post + "Content-Length: 10\r\n" + shortLines + "\r\nx";
          case UNFINISHED_TRAILERS -> chunked + "\r\n0\r\n" + shortLines;
          case WHOLE_HEADERS -> get + shortLines + "\r\n";
          case UNFINISHED_HEADERS_BEHIND_ANOTHER -> get + "\r\n" + get + shortLines;
          case UNFINISHED_LARGE_BODY -> large + "\r\n" + "x".repeat(BODY_BYTES - 1000);
          case ONE_BYTE_CHUNKS -> chunked + "\r\n" + "1\r\nx\r\n".repeat(CHUNKS);
          case NOTHING -> "";
          case FIRST_BYTE -> "G";
          case UNREAD_RESPONSES -> large + "\r\n" + "x".repeat(BODY_BYTES);
        };
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
