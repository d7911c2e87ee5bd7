package org.wheatwall.app.compare.live;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/** Live simulations are deterministic, keep the scheduling rules and discriminate variants. */
final class LiveSimulationTest {
  private static final LiveSpec SPEC = new LiveSpec(33, 100, 60, 45, 3, Mechanisms.ALL);

  @Test
  void simulationIsDeterministicAndBreaksNoRule() {
    LiveResult first = new LiveSimulation(SPEC).run();
    assertThat(new LiveSimulation(SPEC).run()).isEqualTo(first);
    assertThat(first.breaches()).isEqualTo(0);
    assertThat(first.unfinished()).isEqualTo(0);
    assertWithMessage("%s", first).that(first.live()).isGreaterThan(0.8);
  }

  // A start on capacity that is being freed waits for it instead of being refused and retried.
  @Test
  void noStartGoesToAWorkerWithoutCapacity() {
    int stops = 0;
    for (int seed = 1; seed <= 3; seed++) {
      LiveSpec overloaded = new LiveSpec(33, 150, 60, 45, seed, Mechanisms.ALL);
      LiveResult result = new LiveSimulation(overloaded).run();
      stops += result.stops();
      assertWithMessage("%s", result).that(result.refusals()).isEqualTo(0);
    }
    assertThat(stops).isGreaterThan(300);
  }

  @Test
  void cheapestStopsLoseLessWork() {
    double cheapest = 0;
    double fewest = 0;
    for (int seed = 1; seed <= 3; seed++) {
      LiveSpec spec = new LiveSpec(33, 100, 60, 45, seed, Mechanisms.ALL);
      cheapest += new LiveSimulation(spec).run().lostWork();
      fewest +=
          new LiveSimulation(spec.withMechanisms(Mechanisms.without(Mechanism.CHEAPEST_STOPS)))
              .run()
              .lostWork();
    }
    assertThat(cheapest).isLessThan(fewest);
  }

  @Test
  void tableAndChartShowEachVariant() {
    List<String> chart = new ArrayList<>();
    List<String> table = new LiveCompare(8, 100, 10, 45, 2).table(chart);
    assertThat(table).hasSize(8);
    assertThat(chart.stream().filter(line -> line.startsWith("<rect"))).hasSize(7);
  }
}
