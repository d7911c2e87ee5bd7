package org.wheatwall.entry.job;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.gang.decision.GangTimes;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.standin.worker.TaskEvent;

/**
 * Checks under many random fault schedules that no incomplete gang keeps running beyond a bound and
 * that no job runs in two attempts at once. Guards against a decider that does not wait for leases
 * on workers it cannot reach, that takes a command for failed because its response was lost, or
 * whose delayed messages take effect after its lease.
 */
final class DeciderFaultTest {
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 400);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 1);
  private static final GangTimes TIMES = GangTimes.DEFAULT;

  // The last renewal of an incomplete gang is sent at most memberMs after the missing part was last
  // seen and delivered at most commandMs later; 300 ms allow for ticks and clock rates.
  private static final long PARTIAL_RUN_BOUND_MS =
      300L + TIMES.memberMs() + TIMES.commandMs() + TIMES.leaseMs();

  @Test
  void gangsStayCompleteAndAttemptsNeverOverlap() {
    long longestPartialMs = 0;
    int succeeded = 0;
    int unfinished = 0;
    int remainingParts = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      FaultSchedule schedule = new FaultSchedule(seed);
      List<TaskEvent> ledger = schedule.run(5, 8);
      GangLedgerCheck check = new GangLedgerCheck(ledger);
      assertWithMessage("two attempts of a job ran at once, seed " + seed)
          .that(check.overlappingAttempts())
          .isEmpty();
      assertWithMessage("a job succeeded twice, seed " + seed)
          .that(check.repeatedSuccesses(schedule.unreliableWorkers()))
          .isEmpty();
      long partialRunMs = check.longestPartialRunMs();
      assertWithMessage("longest run of an incomplete gang, seed " + seed)
          .that(partialRunMs)
          .isAtMost(PARTIAL_RUN_BOUND_MS);
      remainingParts += schedule.remainingPartCount();
      longestPartialMs = Math.max(longestPartialMs, partialRunMs);
      for (JobPhase phase : schedule.phases().values()) {
        succeeded += phase == JobPhase.SUCCEEDED ? 1 : 0;
        unfinished += phase == JobPhase.SUBMITTED ? 1 : 0;
      }
    }
    System.out.printf(
        "schedules=%d longestPartAloneMs=%d boundMs=%d jobsSucceeded=%d jobsUnfinished=%d%n",
        SCHEDULES, longestPartialMs, PARTIAL_RUN_BOUND_MS, succeeded, unfinished);
    assertWithMessage("jobs that succeeded").that(succeeded).isGreaterThan(SCHEDULES);
    assertWithMessage("jobs that had not ended after a minute without faults")
        .that(unfinished)
        .isEqualTo(0);
    assertWithMessage("parts remaining on workers").that(remainingParts).isEqualTo(0);
  }
}
