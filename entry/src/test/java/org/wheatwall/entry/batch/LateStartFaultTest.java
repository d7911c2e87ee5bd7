package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks of cancelled jobs that run on because their start was carried out late: on a
 * worker that nobody looked at, after a change of the term, or while the worker was cut off. No
 * task may run twice meanwhile.
 */
final class LateStartFaultTest {
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 40);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 9000);

  @Test
  void lateStartsOfCancelledJobsAreStopped() {
    run(schedule -> {});
  }

  @Test
  void lateStartsAreStoppedAfterChangesOfTheTerm() {
    run(schedule -> schedule.killTermHolders(5));
  }

  @Test
  void lateStartsAreStoppedOnWorkersThatWereCutOff() {
    run(schedule -> schedule.cutOffWorkers(4));
  }

  @Test
  void lateStartsAreStoppedAfterChangesOfTheTermOnWorkersThatWereCutOff() {
    run(
        schedule -> {
          schedule.cutOffWorkers(3);
          schedule.killTermHolders(3);
        });
  }

  private static void run(Consumer<BatchFaultSchedule> faults) {
    int accepted = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      BatchFaultSchedule schedule = new BatchFaultSchedule(seed, Optional.empty());
      schedule.injectNoOtherFaults();
      schedule.cancelOneJobIn(2);
      schedule.delayCommands(3);
      faults.accept(schedule);
      accepted += schedule.run();
    }
    assertThat(accepted).isGreaterThan(5 * SCHEDULES);
  }
}
