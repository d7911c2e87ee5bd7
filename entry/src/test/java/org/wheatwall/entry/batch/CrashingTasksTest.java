package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs whose tasks crash their worker after each start and that are started again
 * without limit. Two urgent jobs crashed their workers some 10 ms after every start and were
 * started 108 times in 110 s, each time once another process ran at the worker's address. All tasks
 * beside them were lost, and their callers never received an end. A crashed worker reports no
 * failed end, so a run lost with its worker counted only as interrupted.
 */
final class CrashingTasksTest {
  private static final int JOBS_PER_CRASHING_JOB = 5;
  // Crashes were wrongly counted for a start that never arrived (16), for a run that had already
  // ended (146) and for a command to a worker known to be down (260, 314).
  private static final List<Long> WRONGLY_FAILED_SEEDS = List.of(16L, 146L, 260L, 314L);
  // A start that was stopped before it could crash its worker was not counted, so the task was
  // started too often.
  private static final List<Long> UNCOUNTED_START_SEEDS = List.of(272L);

  @Test
  void jobsThatCrashTheirWorkersFailUnderRandomFaults() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      accepted += schedule(seed).run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  private static BatchFaultSchedule schedule(long seed) {
    BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
    schedule.crashWorkersOfOneJobIn(JOBS_PER_CRASHING_JOB);
    return schedule;
  }

  private static BatchFaultSchedule scheduleWithPartitions(long seed) {
    BatchFaultSchedule schedule = schedule(seed);
    schedule.partitionHosts(6);
    return schedule;
  }

  @Test
  void crashesAreCountedCorrectlyInRegressionSeeds() {
    for (long seed : WRONGLY_FAILED_SEEDS) {
      schedule(seed).run();
      scheduleWithPartitions(seed).run();
    }
    for (long seed : UNCOUNTED_START_SEEDS) {
      scheduleWithPartitions(seed).run();
    }
  }

  /** Hosts are also partitioned from the store and from each other. */
  @Test
  void jobsThatCrashTheirWorkersFailDuringPartitionsBetweenHosts() {
    int schedules = Integer.getInteger("wheatwall.schedules", 20);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      accepted += scheduleWithPartitions(seed).run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }
}
