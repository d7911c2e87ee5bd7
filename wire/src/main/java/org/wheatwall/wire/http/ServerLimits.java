package org.wheatwall.wire.http;

import org.wheatwall.core.common.Names;

/**
 * Limits of a server, so that a flood of callers cannot exhaust the memory of the process.
 *
 * @param maxBody largest body, bytes
 * @param maxCalls calls in flight; more are refused immediately
 * @param maxCallBytes total size of the bodies of calls in flight, bytes
 * @param maxHeaderBytes estimated total size of the header lines of calls in flight, bytes
 * @param maxConnections open connections; beyond it, those without calls are closed
 * @param requestTimeoutMs time within which a request must arrive completely, milliseconds
 */
public record ServerLimits(
    int maxBody,
    int maxCalls,
    int maxCallBytes,
    int maxHeaderBytes,
    int maxConnections,
    int requestTimeoutMs) {
  private static final int MB = 1024 * 1024;
  private static final int DEFAULT_CALLS = 1000;
  private static final int CALL_HEAP_DIVISOR = 12;
  private static final int MAX_CALL_BYTES = 8 * MB;

  // More than calls, so that further callers can be told that the limit is reached.
  private static final int DEFAULT_CONNECTIONS = 1100;
  private static final int DEFAULT_REQUEST_TIMEOUT_MS = 60_000;

  private static final int HEADER_HEAP_DIVISOR = 16;
  private static final int MIN_HEADER_BYTES = MB;
  private static final int MAX_HEADER_BYTES = 8 * MB;

  private static final int PROBE_BODY_BYTES = 4096;
  private static final int PROBE_CALLS = 64;
  private static final int PROBE_CONNECTIONS = 128;

  /** Validates. */
  public ServerLimits {
    Names.requireRange("maxBodyBytes", maxBody, 1, Integer.MAX_VALUE);
    Names.requireRange("maxCalls", maxCalls, 1, 1_000_000);
    Names.requireRange("maxCallBytes", maxCallBytes, 1, Integer.MAX_VALUE);
    Names.requireRange("maxHeaderBytes", maxHeaderBytes, 1, Integer.MAX_VALUE);
    Names.requireRange("maxConnections", maxConnections, 1, 1_000_000);
    Names.requireRange("requestTimeoutMs", requestTimeoutMs, 1, Integer.MAX_VALUE);
  }

  /** Returns limits with the default for header lines and the default timeout. */
  public ServerLimits(int maxBody, int maxCalls, int maxCallBytes, int maxConnections) {
    this(
        maxBody,
        maxCalls,
        maxCallBytes,
        defaultHeaderBytes(),
        maxConnections,
        DEFAULT_REQUEST_TIMEOUT_MS);
  }

  /** Returns default limits, for a small process, with bodies of up to {@code maxBody} bytes. */
  public static ServerLimits forMaxBody(int maxBody) {
    return new ServerLimits(
        maxBody, DEFAULT_CALLS, Math.max(maxBody, defaultCallBytes()), DEFAULT_CONNECTIONS);
  }

  /** Returns limits for a server of readiness checks or metrics, whose few callers send no body. */
  public static ServerLimits forProbes() {
    return new ServerLimits(
        PROBE_BODY_BYTES,
        PROBE_CALLS,
        PROBE_CALLS * PROBE_BODY_BYTES,
        MIN_HEADER_BYTES,
        PROBE_CONNECTIONS,
        DEFAULT_REQUEST_TIMEOUT_MS);
  }

  /** Returns these limits, with half of the bodies and header lines in flight. */
  public ServerLimits withHalfTheBytes() {
    return new ServerLimits(
        maxBody,
        maxCalls,
        Math.max(maxBody, maxCallBytes / 2),
        Math.max(MIN_HEADER_BYTES, maxHeaderBytes / 2),
        maxConnections,
        requestTimeoutMs);
  }

  /** Returns these limits, with a timeout for requests that is not below {@code deadlineMs}. */
  public ServerLimits withLongestDeadline(int deadlineMs) {
    return new ServerLimits(
        maxBody,
        maxCalls,
        maxCallBytes,
        maxHeaderBytes,
        maxConnections,
        Math.max(requestTimeoutMs, deadlineMs));
  }

  private static int defaultCallBytes() {
    return (int) Math.min(MAX_CALL_BYTES, Runtime.getRuntime().maxMemory() / CALL_HEAP_DIVISOR);
  }

  private static int defaultHeaderBytes() {
    long share = Runtime.getRuntime().maxMemory() / HEADER_HEAP_DIVISOR;
    return (int) Math.min(MAX_HEADER_BYTES, Math.max(MIN_HEADER_BYTES, share));
  }
}
