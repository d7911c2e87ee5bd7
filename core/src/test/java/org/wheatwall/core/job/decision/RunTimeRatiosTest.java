package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Run time ratios of drawn fleets: equal hosts are not judged different, unequal ones are known
 * within seconds of work, and nothing that a host reports wrongly or for a while lasts.
 */
final class RunTimeRatiosTest {
  private static final int HOSTS = 100;
  private static final int TASKS_PER_HOST = 4;
  private static final int SEEDS = 4;
  private static final double[] CLASSES = {0.6, 1, 1.6};
  // Fewer than one host in a hundred may be judged different if all are equal.
  private static final double MAX_FALSE_SHARE = 0.01;

  private static double[] fleet(int hosts, IntToDoubleFunction ratio) {
    double[] ratios = new double[hosts];
    Arrays.setAll(ratios, ratio);
    return ratios;
  }

  private static double[] threeClasses() {
    return fleet(HOSTS, host -> CLASSES[host % CLASSES.length]);
  }

  private static double[] continuum(long seed) {
    Random random = new Random(seed);
    return fleet(HOSTS, host -> Math.exp(random.nextGaussian() * 0.4));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.15, 0.3})
  void equalHostsAreNotJudgedDifferent(double spread) {
    for (int hosts : new int[] {10, 30, 100, 1000}) {
      for (int tasks : new int[] {1, TASKS_PER_HOST}) {
        double different = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
          FleetSimulation fleet = new FleetSimulation(fleet(hosts, i -> 1), tasks, spread, seed);
          double worst = 0;
          for (int second = 0; second < 30; second++) {
            fleet.run(1);
            worst = Math.max(worst, fleet.differentShare());
          }
          different += worst / SEEDS;
        }
        assertWithMessage("%s hosts, %s tasks each", hosts, tasks)
            .that(different)
            .isAtMost(MAX_FALSE_SHARE);
      }
    }
  }

  // Not knowing the hosts costs an error of about 0.4. Siblings differ by the spread, so an error
  // above it would say less than the run time of a single task.
  @ParameterizedTest
  @ValueSource(doubles = {0.15, 0.3})
  void unequalHostsAreKnownWithinSecondsOfWork(double spread) {
    double[][] errors = new double[2][3];
    double[] unknown = new double[2];
    int[] seconds = {2, 5, 10};
    for (int seed = 0; seed < SEEDS; seed++) {
      double[][] fleets = {threeClasses(), continuum(seed)};
      for (int kind = 0; kind < fleets.length; kind++) {
        FleetSimulation fleet = new FleetSimulation(fleets[kind], TASKS_PER_HOST, spread, seed);
        unknown[kind] += fleet.error() / SEEDS;
        for (int i = 0; i < seconds.length; i++) {
          fleet.run(i == 0 ? seconds[0] : seconds[i] - seconds[i - 1]);
          errors[kind][i] += fleet.error() / SEEDS;
        }
      }
    }
    for (int kind = 0; kind < errors.length; kind++) {
      String figures =
          String.format("unknown %.3f, errors %s", unknown[kind], Arrays.toString(errors[kind]));
      assertWithMessage(figures).that(errors[kind][0]).isAtMost(unknown[kind] * 1.01);
      assertWithMessage(figures).that(errors[kind][1]).isLessThan(unknown[kind] * 0.8);
      assertWithMessage(figures).that(errors[kind][2]).isAtMost(spread);
    }
  }

  private static double meanLogError(FleetSimulation fleet, int from, int to) {
    double sum = 0;
    for (int host = from; host < to; host++) {
      sum += Math.log(fleet.ratios.ratio(FleetSimulation.name(host)) / fleet.trueRatios[host]);
    }
    return sum / (to - from);
  }

  private static void multiply(FleetSimulation fleet, int from, int to, double factor) {
    for (int host = from; host < to; host++) {
      fleet.trueRatios[host] *= factor;
    }
  }

  @Test
  void lastingChangeIsLearnedBothWays() {
    FleetSimulation fleet = new FleetSimulation(threeClasses(), TASKS_PER_HOST, 0.15, 1);
    fleet.run(20);
    multiply(fleet, 0, 12, 1.6);
    fleet.run(20);
    assertThat(Math.abs(meanLogError(fleet, 0, 12))).isLessThan(Math.log(1.6) / 2);
    multiply(fleet, 0, 12, 1 / 1.6);
    fleet.run(20);
    assertThat(Math.abs(meanLogError(fleet, 0, 12))).isLessThan(Math.log(1.6) / 2);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.15, 0.3})
  void slowSpellDoesNotMakeHostsSlowForGood(double spread) {
    FleetSimulation fleet = new FleetSimulation(threeClasses(), TASKS_PER_HOST, spread, 2);
    fleet.run(30);
    multiply(fleet, 0, 12, 7);
    fleet.run(3);
    multiply(fleet, 0, 12, 1.0 / 7);
    fleet.run(20);
    assertThat(Math.abs(meanLogError(fleet, 0, 12))).isLessThan(spread);
  }

  @Test
  void slowSpellLeavesEqualHostsEqual() {
    FleetSimulation fleet = new FleetSimulation(fleet(HOSTS, i -> 1), TASKS_PER_HOST, 0.3, 3);
    fleet.run(20);
    multiply(fleet, 0, 10, 7);
    fleet.run(3);
    multiply(fleet, 0, 10, 1.0 / 7);
    fleet.run(20);
    assertThat(fleet.differentShare()).isAtMost(MAX_FALSE_SHARE);
  }

  @Test
  void halfOfTheHostsSlowAtOnceAreTheReference() {
    FleetSimulation fleet = new FleetSimulation(fleet(HOSTS, i -> 1), TASKS_PER_HOST, 0.15, 4);
    fleet.run(20);
    multiply(fleet, 0, HOSTS / 2, 2);
    fleet.run(60);
    double slowHalf = 0;
    double otherHalf = 0;
    for (int host = 0; host < HOSTS / 2; host++) {
      slowHalf += fleet.ratios.ratio(FleetSimulation.name(host)) / (HOSTS / 2);
      otherHalf += fleet.ratios.ratio(FleetSimulation.name(host + HOSTS / 2)) / (HOSTS / 2);
    }
    assertThat(slowHalf).isWithin(0.1).of(1);
    assertThat(otherHalf).isWithin(0.1).of(0.5);
  }

  // One host reports that its tasks progress ten times as fast as they do.
  @Test
  void progressFarAheadMisjudgesOnlyItsOwnHost() {
    RunTimeRatios ratios = new RunTimeRatios();
    Random random = new Random(5);
    long nowMs = 0;
    for (int step = 0; step < 200; step++) {
      nowMs += 200;
      RunTimeRatios.Run[] runs = new RunTimeRatios.Run[8];
      for (int i = 0; i < runs.length; i++) {
        int host = (step * 3 + i) % 16;
        runs[i] = ratios.start("step-" + step, FleetSimulation.name(host));
        double totalMs = 2000 * Math.exp(random.nextGaussian() * 0.2);
        ratios.measure(runs[i], host == 0 ? totalMs / 10 : totalMs, 0.05, nowMs);
      }
      for (RunTimeRatios.Run run : runs) {
        ratios.finish(run, nowMs);
      }
    }
    for (int host = 1; host < 16; host++) {
      assertThat(ratios.ratio(FleetSimulation.name(host))).isEqualTo(1.0);
    }
    assertThat(ratios.ratio(FleetSimulation.name(0))).isAtLeast(1.0 / 3);
  }

  @Test
  void runThatIsRefinedCountsOnce() {
    RunTimeRatios often = new RunTimeRatios();
    RunTimeRatios once = new RunTimeRatios();
    RunTimeRatios.Run[] oftenMeasured = {often.start("s", "a"), often.start("s", "b")};
    RunTimeRatios.Run[] onceMeasured = {once.start("s", "a"), once.start("s", "b")};
    for (int i = 0; i < 1000; i++) {
      often.measure(oftenMeasured[0], 1000, 0.01, i);
      often.measure(oftenMeasured[1], 4000, 0.01, i);
    }
    once.measure(onceMeasured[0], 1000, 0.01, 0);
    once.measure(onceMeasured[1], 4000, 0.01, 0);
    assertThat(often.ratio("b")).isEqualTo(once.ratio("b"));
    assertThat(often.ratio("b")).isEqualTo(1.0);
  }

  @Test
  void tasksOnASingleHostSayNothingAboutIt() {
    RunTimeRatios ratios = new RunTimeRatios();
    for (int i = 0; i < 50; i++) {
      ratios.observeEnd("step", "a", 1000 + 500 * (i % 2), 10, i * 1000L);
    }
    assertThat(ratios.summary().measured()).isEqualTo(0);
  }
}
