package org.wheatwall.app.compare.live;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;

/** Catches a live day that differs from play to play, breaks a rule, or measures nothing. */
final class LiveDayTest {
  private static final LiveSpec DAY = new LiveSpec(33, 100, 60, 45, 3, Mechanisms.ALL);

  @Test
  void aDayIsTheSameEachTimeAndBreaksNoRule() {
    LiveResult first = new LiveDay(DAY).play();
    assertThat(new LiveDay(DAY).play()).isEqualTo(first);
    assertThat(first.breaches()).isEqualTo(0);
    assertThat(first.unfinished()).isEqualTo(0);
    assertWithMessage("%s", first).that(first.live()).isGreaterThan(0.8);
  }

  // A start on room that others are leaving waits for them instead of being refused and repeated.
  @Test
  void noStartGoesToAWorkerWithoutRoom() {
    int stops = 0;
    for (int seed = 1; seed <= 3; seed++) {
      LiveSpec busy = new LiveSpec(33, 150, 60, 45, seed, Mechanisms.ALL);
      LiveResult result = new LiveDay(busy).play();
      stops += result.stops();
      assertWithMessage("%s", result).that(result.refusals()).isEqualTo(0);
    }
    assertThat(stops).isGreaterThan(300);
  }

  @Test
  void stoppingWhatCostsLeastThrowsLessAway() {
    double cheapest = 0;
    double fewest = 0;
    for (int seed = 1; seed <= 3; seed++) {
      LiveSpec day = new LiveSpec(33, 100, 60, 45, seed, Mechanisms.ALL);
      cheapest += new LiveDay(day).play().thrownAway();
      fewest +=
          new LiveDay(day.with(Mechanisms.without(Mechanism.CHEAPEST_STOPS))).play().thrownAway();
    }
    assertThat(cheapest).isLessThan(fewest);
  }

  @Test
  void theTableHasARowForEachVariantAndTheChartABar() {
    List<String> chart = new ArrayList<>();
    List<String> table = new LiveCompare(8, 100, 10, 45, 2).table(chart);
    assertThat(table).hasSize(8);
    assertThat(chart.stream().filter(line -> line.startsWith("<rect"))).hasSize(7);
  }
}
