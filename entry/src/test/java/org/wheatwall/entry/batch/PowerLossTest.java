package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * All hosts lose power at once, right after a job was accepted, so that only the platform's log is
 * left. An implementation that accepts a job before its record is acknowledged, or that stores
 * durable state on other hosts only, loses a job at the first power loss.
 */
final class PowerLossTest {
  private static final int ACCEPTANCES_PER_POWER_LOSS = 6;

  @Test
  void acceptedJobsSurvivePowerLossOfAllHosts() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.losePowerAfterOneAcceptanceIn(ACCEPTANCES_PER_POWER_LOSS);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  /** Some tasks crash their workers; the crash counts must survive the power loss, too. */
  @Test
  void crashCountsSurvivePowerLossOfAllHosts() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.losePowerAfterOneAcceptanceIn(ACCEPTANCES_PER_POWER_LOSS);
      schedule.crashWorkersOfOneJobIn(5);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }
}
