package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * All machines lose their power at one moment, right after work was accepted: what was acknowledged
 * is on the platform, since nothing else is left. A version that answers once a record is on its
 * way, or that keeps on other hosts what must last, loses a job at the first of these moments.
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

  /** The same with tasks that crash their workers: what they have cost outlives the hosts too. */
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
