package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/**
 * Guards against a fixed share: 8 idle connections from each of 8 hosts would leave none for
 * requests.
 */
final class ConnectionShareTest {
  private static final int SLOTS = 8;

  @Test
  void allHostsTogetherStayWithinTheRunnersConnectionLimit() {
    for (int hosts = 1; hosts <= 54; hosts++) {
      int maxConnections = (hosts + 2) * ConnectionShare.idleConnections(hosts) + SLOTS;
      assertWithMessage(hosts + " hosts")
          .that(maxConnections)
          .isAtMost(ConnectionShare.RUNNER_CONNECTIONS);
    }
  }
}
