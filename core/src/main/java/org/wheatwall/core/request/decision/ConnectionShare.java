package org.wheatwall.core.request.decision;

/**
 * How many idle connections an entry host may keep to each runner of its zone, so that all entry
 * hosts together stay within the runner's 64 without asking each other: at most one connection a
 * slot is in use, and the rest is divided evenly.
 */
public final class ConnectionShare {
  /** Connections that a runner takes at once. */
  public static final int RUNNER_CONNECTIONS = 64;

  private static final int RUNNER_SLOTS = 8;

  // A replaced host may still be open, and a new one not yet listed, while the list lags.
  private static final int UNLISTED_HOSTS_ALLOWANCE = 2;
  private static final int MAX_IDLE = 8;

  private ConnectionShare() {}

  /**
   * Returns the share of one host.
   *
   * @param listedHosts entry hosts of the zone in the platform's list
   */
  public static int idleConnections(int listedHosts) {
    int hosts = Math.max(1, listedHosts) + UNLISTED_HOSTS_ALLOWANCE;
    return Math.min(MAX_IDLE, (RUNNER_CONNECTIONS - RUNNER_SLOTS) / hosts);
  }
}
