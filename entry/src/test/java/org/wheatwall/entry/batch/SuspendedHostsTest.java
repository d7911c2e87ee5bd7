package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Hosts are suspended for seconds. Their monotonic clocks do not count that time, but their wall
 * clocks do. A host that checks its term by the monotonic clock alone would, after waking, hold the
 * term beyond its expiry by the time of the suspension, and would start tasks that its successor
 * has already started.
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

  // Steps that look like suspensions may cost term confirmations, but nothing else.
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
