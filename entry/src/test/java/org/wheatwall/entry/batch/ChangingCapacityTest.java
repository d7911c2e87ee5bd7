package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Workers have less room for a while and say so, also with work on them that takes more, and start
 * whatever they are told. A version that looks at the room only when it plans a run, or that
 * believes an older word of a worker, takes one over its room within a few seeds.
 */
final class ChangingCapacityTest {
  private static final int CHANGES = 40;
  // The room shrank between two tries of a start whose answer was lost.
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
