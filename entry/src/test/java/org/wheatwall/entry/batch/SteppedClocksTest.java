package org.wheatwall.entry.batch;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against suspensions during which the wall clock is set back by the same time. Neither the
 * monotonic clock nor the wall clock then shows the suspension, and a term holder would hold its
 * term longer by that time.
 */
final class SteppedClocksTest {
  // A lease was extended by a host whose term had not been confirmed for 3.3 s.
  private static final int REGRESSION_SEED = 328;

  @Test
  void invariantsHoldWhileHostsAreSuspendedAndTheirClocksStepped() {
    int schedules = Integer.getInteger("wheatwall.schedules", 20);
    long firstSeed = Long.getLong("wheatwall.seed", REGRESSION_SEED);
    for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.suspendHosts(12);
      schedule.stepWallClocks(12);
      schedule.run();
    }
  }
}
