package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.standin.permit.PermitModel;

/**
 * Random faults against whole clusters in simulated time. A version that starts a run before it is
 * written down, that starts the next run without the end of the one before, or that trusts a
 * worker's silence, breaks one of the checks within a few seeds.
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

  /** The same where a step may run on some workers only, by texts that lapse after a second. */
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
   * The same where hosts are also cut off from the store and from each other at once, and go on
   * reaching their workers. A successor that counts on the holder's silence alone would take what
   * it still extends for lapsed.
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
