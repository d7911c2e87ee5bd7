package org.wheatwall.core.request.decision;

/**
 * The number of idle connections that an entry host may keep to each runner of its zone. All entry
 * hosts together stay within the runner's limit of 64 without coordination: at most one connection
 * per slot is in use, and the rest is divided evenly.
 */
public final class ConnectionShare {
  /** Maximum number of concurrent connections to a runner. */
  public static final int RUNNER_CONNECTIONS = 64;

  private static final int RUNNER_SLOTS = 8;

  // While the host list is out of date, a replaced host may still hold connections and a new one
  // may not be listed yet.
  private static final int UNLISTED_HOSTS_ALLOWANCE = 2;
  private static final int MAX_IDLE = 8;

  private ConnectionShare() {}

  /**
   * Returns the maximum number of idle connections of one entry host to one runner.
   *
   * @param listedHosts number of the zone's entry hosts in the platform's list
   */
  public static int idleConnections(int listedHosts) {
    int hosts = Math.max(1, listedHosts) + UNLISTED_HOSTS_ALLOWANCE;
    return Math.min(MAX_IDLE, (RUNNER_CONNECTIONS - RUNNER_SLOTS) / hosts);
  }
}
