package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.standin.permit.PermitModel;

/**
 * Runs whole clusters under random faults in simulated time. Guards against starting a run before
 * it is logged, starting the next run before the previous one has ended, and treating a silent
 * worker as gone: each of these faults breaks a check within a few seeds.
 */
final class BatchFaultTest {
  private static final int PERMITTED_PERCENT = 90;
  private static final int PERMIT_VALIDITY_MS = 1000;

  @Test
  void invariantsHoldUnderRandomFaults() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      accepted += new BatchFaultSchedule(seed, Optional.empty()).run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  /** Steps need permits, which are granted for some workers only and expire after a second. */
  @Test
  void invariantsHoldIfStepsNeedPermits() {
    int schedules = Integer.getInteger("wheatwall.schedules", 20);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      PermitModel permits = new PermitModel(PERMITTED_PERCENT, PERMIT_VALIDITY_MS);
      accepted += new BatchFaultSchedule(seed, Optional.of(permits)).run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  /**
   * Hosts are partitioned from the store and from each other at once but still reach their workers.
   * A successor that relies on the term holder's silence alone would treat leases as expired that
   * the holder still extends.
   */
  @Test
  void invariantsHoldDuringPartitionsBetweenHosts() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.partitionHosts(6);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }
}
