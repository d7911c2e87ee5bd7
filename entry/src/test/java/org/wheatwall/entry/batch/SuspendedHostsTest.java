package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Machines are suspended for seconds: their steady clocks do not count that time, and the time of
 * day does. On waking, a host that holds its term by the steady clock alone believes in it for as
 * long as it stood still, beside a successor that has waited for it, and starts what the other has
 * started.
 */
final class SuspendedHostsTest {
  @Test
  void invariantsHoldWhileHostsAreSuspended() {
    int schedules = Integer.getInteger("wheatwall.schedules", 60);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.suspendHosts(12);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }

  // Taken for suspensions, they cost confirmations and must cost no more.
  @Test
  void invariantsHoldWhileWallClocksAreStepped() {
    int schedules = Integer.getInteger("wheatwall.schedules", 40);
    long firstSeed = Long.getLong("wheatwall.seed", 1);
    int accepted = 0;
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.stepWallClocks(12);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(schedules);
  }
}
