package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Workers report less capacity for a while, sometimes less than their running tasks use, and do not
 * check it when they start tasks. A decider that checks capacity only when it plans a run, or that
 * relies on an outdated report, exceeds a worker's capacity within a few seeds.
 */
final class ChangingCapacityTest {
  private static final int CHANGES = 40;
  // The capacity shrinks between two attempts of a start whose response is lost.
  private static final long RETRIED_START_SEED = 5089;

  @Test
  void startsDoNotExceedCapacityUnderRandomFaults() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.changeCapacity(CHANGES);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  @Test
  void retriedStartDoesNotExceedCapacity() {
    BatchFaultSchedule schedule = new BatchFaultSchedule(RETRIED_START_SEED, Optional.empty());
    schedule.changeCapacity(CHANGES);
    schedule.run();
  }
}
