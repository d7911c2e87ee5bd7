package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.function.LongToIntFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards the invariants of jobs while hosts reach the job log and each other but only some workers,
 * and while the operator evacuates the workers' availability zone, beside random other faults.
 */
final class PathFaultTest {
  private static final int PATH_FAULTS = 5;
  private static final int EVACUATIONS = 4;
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 40);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 7000);

  @Test
  void invariantsHoldWhilePathsToWorkersAreBlocked() {
    run(
        seed -> {
          BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
          schedule.blockPaths(PATH_FAULTS);
          return schedule.run();
        });
  }

  @Test
  void nothingStartsInAnEvacuatedZoneDuringOtherFaults() {
    run(
        seed -> {
          BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
          schedule.evacuate(EVACUATIONS);
          schedule.partitionHosts(2);
          schedule.suspendHosts(2);
          return schedule.run();
        });
  }

  private static void run(LongToIntFunction schedule) {
    int accepted = 0;
    for (int i = 0; i < SCHEDULES; i++) {
      accepted += schedule.applyAsInt(FIRST_SEED + i);
    }
    assertThat(accepted).isGreaterThan(5 * SCHEDULES);
  }
}
