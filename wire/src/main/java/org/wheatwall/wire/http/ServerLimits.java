package org.wheatwall.wire.http;

import org.wheatwall.core.common.Names;

/**
 * Limits of a server, so that a flood of callers cannot exhaust the memory of the process.
 *
 * @param maxBody largest body, bytes
 * @param maxCalls calls in flight; more are refused immediately
 * @param maxCallBytes total size of the bodies of calls in flight, bytes
 * @param maxConnections open connections; more wait to be accepted
 */
public record ServerLimits(int maxBody, int maxCalls, int maxCallBytes, int maxConnections) {
  private static final int DEFAULT_CALLS = 1000;
  private static final int DEFAULT_CALL_BYTES = 8 * 1024 * 1024;
  private static final int DEFAULT_CONNECTIONS = 1000;

  /** Validates. */
  public ServerLimits {
    Names.requireRange("maxBodyBytes", maxBody, 1, Integer.MAX_VALUE);
    Names.requireRange("maxCalls", maxCalls, 1, 1_000_000);
    Names.requireRange("maxCallBytes", maxCallBytes, 1, Integer.MAX_VALUE);
    Names.requireRange("maxConnections", maxConnections, 1, 1_000_000);
  }

  /** Returns default limits, for a small process, with bodies of up to {@code maxBody} bytes. */
  public static ServerLimits forMaxBody(int maxBody) {
    return new ServerLimits(
        maxBody, DEFAULT_CALLS, Math.max(maxBody, DEFAULT_CALL_BYTES), DEFAULT_CONNECTIONS);
  }
}
