package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wheatwall.core.common.Mechanisms;

/** Two simulated minutes on hosts of speed 0.6, 1.0 and 1.6, with the feature and without. */
final class ExpectedCompletionLoadTest {
  private static final int SEEDS = 8;
  private static final double SLOW = 1 / 0.6;
  private static final double FAST = 1 / 1.6;
  private static final LoadSimulation.Hosts UNKNOWN =
      new LoadSimulation.Hosts(SLOW, FAST, false, false);
  private static final LoadSimulation.Hosts KNOWN =
      new LoadSimulation.Hosts(SLOW, FAST, false, true);
  private static final double LOW_LOAD = 0.4;
  private static final double MIN_SHARE_AT_LOW_LOAD = 0.95;
  private static final double MAX_SHARE_LOST_BY_OTHERS = 0.02;
  private static final SchedulerSettings WITHOUT =
      new SchedulerSettings(600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 45, Mechanisms.ALL);

  private static double share(int part, int whole) {
    return (double) part / whole;
  }

  @ParameterizedTest
  @ValueSource(doubles = {LOW_LOAD, 0.6, 0.85})
  void moreUrgentGangsAreInTimeAndOthersAreNotWorse(double load) {
    LoadSimulation.Result without = LoadSimulation.sum(WITHOUT, SEEDS, UNKNOWN, load);
    LoadSimulation.Result with =
        LoadSimulation.sum(ExpectedCompletionTest.SPEED_AWARE, SEEDS, KNOWN, load);
    String both = "load " + load + ", without: " + without + "; with: " + with;
    double urgentWith = share(with.liveInTime, with.live);
    assertWithMessage(both).that(urgentWith).isGreaterThan(share(without.liveInTime, without.live));
    if (load == LOW_LOAD) {
      assertWithMessage(both).that(urgentWith).isAtLeast(MIN_SHARE_AT_LOW_LOAD);
    }
    assertWithMessage(both)
        .that(share(with.othersInTime, with.others))
        .isAtLeast(share(without.othersInTime, without.others) - MAX_SHARE_LOST_BY_OTHERS);
    assertWithMessage(both).that(with.invalidProposals).isEqualTo(0);
  }

  @Test
  void equalRatiosDecideAsWithoutTheFeature() {
    assertThat(hash(ExpectedCompletionTest.SPEED_AWARE, LoadSimulation.Hosts.EQUAL, 1))
        .isEqualTo(hash(WITHOUT, LoadSimulation.Hosts.EQUAL, 1));
    assertThat(
            hash(
                ExpectedCompletionTest.SPEED_AWARE,
                new LoadSimulation.Hosts(1, 1, false, true),
                1.5))
        .isEqualTo(hash(WITHOUT, LoadSimulation.Hosts.EQUAL, 1.5));
  }

  @Test
  void unknownRatiosDecideAsWithoutTheFeature() {
    assertThat(hash(ExpectedCompletionTest.SPEED_AWARE, UNKNOWN, 1))
        .isEqualTo(hash(WITHOUT, UNKNOWN, 1));
  }

  private static int hash(SchedulerSettings settings, LoadSimulation.Hosts hosts, double load) {
    return new LoadSimulation(settings, 1, hosts, load).run().decisionHash;
  }
}
