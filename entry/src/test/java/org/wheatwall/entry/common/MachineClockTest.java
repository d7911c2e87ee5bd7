package org.wheatwall.entry.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** What was to hold until some time does not outlast a time that the steady clock did not see. */
final class MachineClockTest {
  private static final long NANOS_PER_MS = 1_000_000;

  private long steadyMs = 5_000;
  private long wallMs = 90_000;
  private long uptimeMs = 70_000;
  private final MachineClock clock = new MachineClock(() -> steadyMs * NANOS_PER_MS, () -> wallMs);
  private final MachineClock withUptime =
      new MachineClock(
          () -> steadyMs * NANOS_PER_MS, () -> wallMs, () -> OptionalLong.of(uptimeMs));

  private void pass(long ms) {
    steadyMs += ms;
    wallMs += ms;
    uptimeMs += ms;
  }

  // Steady clock and time of day go together, as the time of day was set back meanwhile.
  private void suspendUnseen(long ms) {
    uptimeMs += ms;
  }

  @Test
  void limitsAreHeldByTheSteadyClockAsLongAsBothGoTogether() {
    long before = clock.limitMs();
    for (int i = 0; i < 100; i++) {
      pass(700);
      assertThat(clock.skippedMs()).isEqualTo(0);
    }
    assertThat(clock.limitMs() - before).isEqualTo(70_000);
  }

  @Test
  void nothingHoldsAnyMoreAfterASuspension() {
    long until = clock.limitMs() + 60_000;
    wallMs += 1000;
    assertThat(clock.limitMs()).isGreaterThan(until);
    assertThat(clock.nowMs()).isEqualTo(5_000);
  }

  @Test
  void aJumpBackCountsToo() {
    long until = clock.limitMs() + 60_000;
    wallMs -= 2000;
    assertThat(clock.limitMs()).isGreaterThan(until);
  }

  @Test
  void whatIsConfirmedAfterwardsHolds() {
    wallMs += 1000;
    long until = clock.limitMs() + 1800;
    pass(1700);
    assertThat(clock.limitMs()).isLessThan(until);
  }

  // A term was held for as long again, since neither of the other clocks showed the suspension.
  @Test
  void uptimeShowsASuspensionThatTheTimeOfDayHides() {
    long until = withUptime.limitMs() + 60_000;
    pass(400);
    assertThat(withUptime.limitMs()).isLessThan(until);
    suspendUnseen(300);
    assertThat(withUptime.limitMs()).isGreaterThan(until);
  }

  @Test
  void suspensionsThatBothClocksShowAreAllNoticed() {
    for (int i = 0; i < 2 * SuspensionDetector.MOST_ALONE; i++) {
      long until = withUptime.limitMs() + 60_000;
      wallMs += 1000;
      uptimeMs += 1000;
      assertThat(withUptime.limitMs()).isGreaterThan(until);
    }
    long until = withUptime.limitMs() + 60_000;
    suspendUnseen(1000);
    assertThat(withUptime.limitMs()).isGreaterThan(until);
  }

  // A slower uptime than the steady clock is that of another machine, and says nothing.
  @Test
  void uptimeThatFallsBehindIsDisregarded() {
    long before = withUptime.skippedMs();
    pass(1000);
    uptimeMs -= 300;
    assertThat(withUptime.skippedMs()).isEqualTo(before);
    suspendUnseen(5000);
    assertThat(withUptime.skippedMs()).isEqualTo(before);
  }

  // A host that is shown a faster uptime would otherwise have its term confirmed without end.
  @Test
  void uptimeThatRunsAheadByItselfIsDisregardedAfterAFewTimes() {
    for (int i = 0; i < SuspensionDetector.MOST_ALONE; i++) {
      long before = withUptime.skippedMs();
      suspendUnseen(300);
      assertThat(withUptime.skippedMs()).isGreaterThan(before);
    }
    long before = withUptime.skippedMs();
    suspendUnseen(300);
    assertThat(withUptime.skippedMs()).isEqualTo(before);
  }

  // The readings of two clocks lie apart when the thread has to wait between them.
  @Test
  void aPauseBetweenTwoReadingsIsNoSuspension() {
    LongSupplier slow =
        () -> {
          LockSupport.parkNanos(2 * NANOS_PER_MS);
          return System.nanoTime() / NANOS_PER_MS;
        };
    MachineClock machine = new MachineClock(System::nanoTime, slow);
    for (int i = 0; i < 50; i++) {
      assertThat(machine.skippedMs()).isEqualTo(0);
    }
  }
}
