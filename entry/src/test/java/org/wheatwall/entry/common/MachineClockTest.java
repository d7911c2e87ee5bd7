package org.wheatwall.entry.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** What was to hold until some time does not outlast a time that the steady clock did not see. */
final class MachineClockTest {
  private static final long NANOS_PER_MS = 1_000_000;

  private long monotonicMs = 5_000;
  private long wallMs = 90_000;
  private long uptimeMs = 70_000;
  private final MachineClock clock =
      new MachineClock(() -> monotonicMs * NANOS_PER_MS, () -> wallMs);
  private final MachineClock withUptime =
      new MachineClock(
          () -> monotonicMs * NANOS_PER_MS, () -> wallMs, () -> OptionalLong.of(uptimeMs));

  private void advance(long ms) {
    monotonicMs += ms;
    wallMs += ms;
    uptimeMs += ms;
  }

  // Steady clock and time of day go together, as the time of day was set back meanwhile.
  private void suspendHiddenFromWallClock(long ms) {
    uptimeMs += ms;
  }

  @Test
  void leaseTimeFollowsTheMonotonicClockWhileTheClocksAgree() {
    long before = clock.leaseTimeMs();
    for (int i = 0; i < 100; i++) {
      advance(700);
      assertThat(clock.skippedMs()).isEqualTo(0);
    }
    assertThat(clock.leaseTimeMs() - before).isEqualTo(70_000);
  }

  @Test
  void allLeasesExpireAfterASuspension() {
    long until = clock.leaseTimeMs() + 60_000;
    wallMs += 1000;
    assertThat(clock.leaseTimeMs()).isGreaterThan(until);
    assertThat(clock.nowMs()).isEqualTo(5_000);
  }

  @Test
  void backwardStepAlsoExpiresLeases() {
    long until = clock.leaseTimeMs() + 60_000;
    wallMs -= 2000;
    assertThat(clock.leaseTimeMs()).isGreaterThan(until);
  }

  @Test
  void leasesConfirmedAfterASuspensionHold() {
    wallMs += 1000;
    long until = clock.leaseTimeMs() + 1800;
    advance(1700);
    assertThat(clock.leaseTimeMs()).isLessThan(until);
  }

  // A term was held for as long again, since neither of the other clocks showed the suspension.
  @Test
  void uptimeRevealsASuspensionHiddenByASteppedWallClock() {
    long until = withUptime.leaseTimeMs() + 60_000;
    advance(400);
    assertThat(withUptime.leaseTimeMs()).isLessThan(until);
    suspendHiddenFromWallClock(300);
    assertThat(withUptime.leaseTimeMs()).isGreaterThan(until);
  }

  @Test
  void everySuspensionShownByBothClocksIsDetected() {
    for (int i = 0; i < 2 * SuspensionDetector.MAX_UNCONFIRMED_LEADS; i++) {
      long until = withUptime.leaseTimeMs() + 60_000;
      wallMs += 1000;
      uptimeMs += 1000;
      assertThat(withUptime.leaseTimeMs()).isGreaterThan(until);
    }
    long until = withUptime.leaseTimeMs() + 60_000;
    suspendHiddenFromWallClock(1000);
    assertThat(withUptime.leaseTimeMs()).isGreaterThan(until);
  }

  // A slower uptime than the steady clock is that of another machine, and says nothing.
  @Test
  void uptimeThatFallsBehindIsIgnored() {
    long before = withUptime.skippedMs();
    advance(1000);
    uptimeMs -= 300;
    assertThat(withUptime.skippedMs()).isEqualTo(before);
    suspendHiddenFromWallClock(5000);
    assertThat(withUptime.skippedMs()).isEqualTo(before);
  }

  // A host that is shown a faster uptime would otherwise have its term confirmed without end.
  @Test
  void uptimeThatRepeatedlyRunsAheadAloneIsIgnored() {
    for (int i = 0; i < SuspensionDetector.MAX_UNCONFIRMED_LEADS; i++) {
      long before = withUptime.skippedMs();
      suspendHiddenFromWallClock(300);
      assertThat(withUptime.skippedMs()).isGreaterThan(before);
    }
    long before = withUptime.skippedMs();
    suspendHiddenFromWallClock(300);
    assertThat(withUptime.skippedMs()).isEqualTo(before);
  }

  // The readings of two clocks lie apart when the thread has to wait between them.
  @Test
  void pauseBetweenTwoReadsIsNotASuspension() {
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
