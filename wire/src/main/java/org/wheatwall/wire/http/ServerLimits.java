package org.wheatwall.wire.http;

import org.wheatwall.core.common.Names;

/**
 * What a server takes at once, so that a flood of callers cannot exhaust the memory of the process.
 *
 * @param maxBody largest body, bytes
 * @param maxCalls calls under way; more are refused at once
 * @param maxCallBytes bytes of the bodies of calls under way
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

  /** Returns limits for bodies of up to {@code maxBody} bytes and a small process. */
  public static ServerLimits forMaxBody(int maxBody) {
    return new ServerLimits(
        maxBody, DEFAULT_CALLS, Math.max(maxBody, DEFAULT_CALL_BYTES), DEFAULT_CONNECTIONS);
  }
}
