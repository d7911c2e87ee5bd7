package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.HostSpeed;

/** Hosts are classified by run times, independent of task lengths and declared run times. */
final class HostSpeedsTest {
  private static final int HOSTS = 30;
  private static final int LOAD_SEEDS = 4;
  // Below full load, so that placements can avoid hosts.
  private static final double LOAD = 0.7;
  // A gang that avoids the slower hosts gains 23%; a quarter of that must remain under load.
  private static final double MAX_DURATION_RATIO = 0.94;

  private final HostSpeeds speeds = new HostSpeeds();
  private final Random random = new Random(7);

  private static double durationFactor(int host, double slowFactor) {
    return host % 3 == 2 ? slowFactor : 1;
  }

  // Observes steps of very different lengths, with tasks on random hosts and some random variation.
  private void observeSteps(int count, double slowFactor) {
    for (int step = 0; step < count; step++) {
      double lengthMs = 300 * Math.exp(random.nextDouble() * 5);
      for (int task = 0; task < 20; task++) {
        int host = random.nextInt(HOSTS);
        double variation = Math.exp(random.nextGaussian() * 0.12);
        long runMs = Math.round(lengthMs * variation * durationFactor(host, slowFactor));
        speeds.observe("step-" + slowFactor + "-" + step, "host-" + host, runMs);
      }
    }
  }

  private int count(HostSpeed speed, int remainder) {
    int count = 0;
    for (int host = remainder; host < HOSTS; host += 3) {
      count += speeds.of("host-" + host) == speed ? 1 : 0;
    }
    return count;
  }

  @Test
  void slowerThirdOfTheHostsIsDetected() {
    observeSteps(20, 1.3);
    assertThat(count(HostSpeed.SLOWER, 2)).isAtLeast(9);
    assertThat(count(HostSpeed.SLOWER, 0) + count(HostSpeed.SLOWER, 1)).isEqualTo(0);
  }

  @Test
  void equalHostsAreRarelyMisclassified() {
    observeSteps(20, 1);
    int usual = 0;
    for (int remainder = 0; remainder < 3; remainder++) {
      usual += count(HostSpeed.USUAL, remainder);
    }
    assertThat(usual).isAtLeast(HOSTS * 9 / 10);
  }

  @Test
  void hostsSevenTimesSlowerAreMuchSlowerUntilTheyRecover() {
    observeSteps(10, 7);
    assertThat(count(HostSpeed.MUCH_SLOWER, 2)).isEqualTo(HOSTS / 3);
    observeSteps(60, 1);
    assertThat(count(HostSpeed.MUCH_SLOWER, 2)).isEqualTo(0);
    assertThat(count(HostSpeed.SLOWER, 2)).isAtMost(1);
  }

  @Test
  void oneTaskIsTooLittleEvidence() {
    speeds.observe("step", "a", 1000);
    speeds.observe("step", "b", 1400);
    assertThat(speeds.of("a")).isEqualTo(HostSpeed.USUAL);
    assertThat(speeds.of("b")).isEqualTo(HostSpeed.USUAL);
    assertThat(speeds.of("never seen")).isEqualTo(HostSpeed.USUAL);
  }

  @Test
  void eachChangeIsReturnedOnce() {
    observeSteps(20, 1.3);
    assertThat(speeds.takeChanged()).contains("host-2");
    assertThat(speeds.takeChanged()).isEmpty();
  }

  // A gang ends with its slowest member, so random placement slows down nearly all gangs.
  @Test
  void underLoadUrgentGangsFinishSoonerOnceSlowHostsAreKnown() {
    SchedulerSettings settings =
        new SchedulerSettings(600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 45, Mechanisms.ALL);
    LoadSimulation.Result without =
        LoadSimulation.sum(settings, LOAD_SEEDS, new LoadSimulation.Hosts(1.3, false), LOAD);
    LoadSimulation.Result with =
        LoadSimulation.sum(settings, LOAD_SEEDS, new LoadSimulation.Hosts(1.3, true), LOAD);
    String figures =
        String.format(
            "without: %s, %d ms; with: %s, %d ms",
            without, without.liveMs / without.live, with, with.liveMs / with.live);
    double meanWithout = (double) without.liveMs / without.live;
    double meanWith = (double) with.liveMs / with.live;
    assertWithMessage(figures).that(meanWith).isLessThan(meanWithout * MAX_DURATION_RATIO);
    assertWithMessage(figures).that(with.liveInTime).isAtLeast(without.liveInTime);
  }
}
