package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Catches a fixed share: 8 idle connections each of 8 hosts leave none for what is in use. */
final class ConnectionShareTest {
  private static final int SLOTS = 8;

  @Test
  void allHostsTogetherStayWithinTheRunnersConnectionLimit() {
    for (int hosts = 1; hosts <= 54; hosts++) {
      int most = (hosts + 2) * ConnectionShare.idleConnections(hosts) + SLOTS;
      assertWithMessage(hosts + " hosts").that(most).isAtMost(ConnectionShare.RUNNER_CONNECTIONS);
    }
  }
}
