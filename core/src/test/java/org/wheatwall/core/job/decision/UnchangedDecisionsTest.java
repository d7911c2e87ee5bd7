package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Mechanisms;

/**
 * Without features, a recorded load is decided as before they existed: same times, hosts and
 * victims. The hashes cover every decision of two simulated minutes.
 */
final class UnchangedDecisionsTest {
  private static final SchedulerSettings WITHOUT_FEATURES =
      new SchedulerSettings(600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 45, Mechanisms.ALL);

  @Test
  void equalHosts() {
    LoadSimulation simulation = new LoadSimulation(WITHOUT_FEATURES, 1);
    assertThat(simulation.run().decisionHash).isEqualTo(1046646254);
  }

  @Test
  void slowerHostsAndOverload() {
    LoadSimulation.Hosts hosts = new LoadSimulation.Hosts(1.3, true);
    LoadSimulation simulation = new LoadSimulation(WITHOUT_FEATURES, 2, hosts, 1.5);
    assertThat(simulation.run().decisionHash).isEqualTo(1241228049);
  }
}
