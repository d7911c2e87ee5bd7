package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Callers of two urgent jobs were never told an end, and whatever ran beside their tasks was lost
 * again and again: each of the two tasks ended its worker's process some 10 ms after every start,
 * and was started anew once another process had come to that address, 108 times in 110 s.
 */
final class CrashingTasksTest {
  private static final int CRASHING_ONE_IN = 5;

  @Test
  void tasksThatCrashTheirWorkersAreGivenUpUnderRandomFaults() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchSchedule schedule = new BatchSchedule(seed, Optional.empty());
      schedule.crashWorkersByOneIn(CRASHING_ONE_IN);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  /** The same where hosts are cut off from the store and from each other beside that. */
  @Test
  void theyAreGivenUpWhileHostsAreCutOffFromEachOther() {
    int schedules = Integer.getInteger("wheatwall.schedules", 20);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchSchedule schedule = new BatchSchedule(seed, Optional.empty());
      schedule.crashWorkersByOneIn(CRASHING_ONE_IN);
      schedule.cutHostsOff(6);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }
}
