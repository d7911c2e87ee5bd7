package org.wheatwall.entry.batch;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Machines are suspended, and the time of day of some is set back meanwhile by as much: neither of
 * the clocks that a process can read shows that, and the term is held for as long again.
 */
final class SteppedClocksTest {
  // An extension by a host that was unconfirmed for 3.3 s.
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
