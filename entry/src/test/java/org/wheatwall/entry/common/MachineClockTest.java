package org.wheatwall.entry.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** Tests that no lease outlasts a suspension that the monotonic clock does not show. */
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

  // The monotonic clock and the wall clock agree, since the wall clock was stepped back meanwhile.
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

  // Otherwise a term is held for too long, since neither of the other clocks shows the suspension.
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

  // An uptime slower than the monotonic clock is that of another machine.
  @Test
  void uptimeThatFallsBehindIsIgnored() {
    long before = withUptime.skippedMs();
    advance(1000);
    uptimeMs -= 300;
    assertThat(withUptime.skippedMs()).isEqualTo(before);
    suspendHiddenFromWallClock(5000);
    assertThat(withUptime.skippedMs()).isEqualTo(before);
  }

  // A host that sees a faster uptime would otherwise confirm its term again and again.
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

  // The reads of two clocks differ when the thread is descheduled between them.
  @Test
  void pauseBetweenTwoReadsIsNotASuspension() {
    LongSupplier slowWallClock =
        () -> {
          LockSupport.parkNanos(2 * NANOS_PER_MS);
          return System.nanoTime() / NANOS_PER_MS;
        };
    MachineClock slowlyReadClock = new MachineClock(System::nanoTime, slowWallClock);
    for (int i = 0; i < 50; i++) {
      assertThat(slowlyReadClock.skippedMs()).isEqualTo(0);
    }
  }
}
