package org.wheatwall.entry.job;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.standin.worker.TaskEvent;

/**
 * No part of a gang runs alone beyond the bound, and no job runs as two attempts at once, under
 * thousands of random fault schedules. Catches a decider that forgets to wait for leases on workers
 * it cannot reach, that trusts a command to have failed because its answer was lost, or whose late
 * messages take effect after its lease.
 */
final class DeciderFaultTest {
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 400);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 1);
  private static final GangTimes TIMES = GangTimes.DEFAULT;

  // A part that lost its gang is kept alive by a renewal sent at the latest memberMs after the
  // other part was last seen, delivered commandMs later; 300 ms cover ticks and clock rates.
  private static final long PARTIAL_RUN_BOUND_MS =
      300L + TIMES.memberMs() + TIMES.commandMs() + TIMES.leaseMs();

  @Test
  void gangsStayCompleteAndAttemptsNeverOverlap() {
    long longestAlone = 0;
    int succeeded = 0;
    int unfinished = 0;
    int partsLeft = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      FaultSchedule schedule = new FaultSchedule(seed);
      List<TaskEvent> ledger = schedule.run(5, 8);
      GangLedgerCheck check = new GangLedgerCheck(ledger);
      assertWithMessage("two attempts at once, seed " + seed)
          .that(check.overlappingAttempts())
          .isEmpty();
      assertWithMessage("ran to its end twice, seed " + seed)
          .that(check.repeatedSuccesses(schedule.unreliableWorkers()))
          .isEmpty();
      long alone = check.longestPartialRunMs();
      assertWithMessage("part of a gang alone, seed " + seed)
          .that(alone)
          .isAtMost(PARTIAL_RUN_BOUND_MS);
      partsLeft += schedule.remainingPartCount();
      longestAlone = Math.max(longestAlone, alone);
      for (JobPhase phase : schedule.phases().values()) {
        succeeded += phase == JobPhase.SUCCEEDED ? 1 : 0;
        unfinished += phase == JobPhase.SUBMITTED ? 1 : 0;
      }
    }
    System.out.printf(
        "schedules=%d longestPartAloneMs=%d boundMs=%d jobsSucceeded=%d jobsUnfinished=%d%n",
        SCHEDULES, longestAlone, PARTIAL_RUN_BOUND_MS, succeeded, unfinished);
    assertWithMessage("jobs that succeeded").that(succeeded).isGreaterThan(SCHEDULES);
    assertWithMessage("jobs without an end after a minute of quiet").that(unfinished).isEqualTo(0);
    assertWithMessage("parts left on workers").that(partsLeft).isEqualTo(0);
  }
}
