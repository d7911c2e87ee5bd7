package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Slow scheduling passes leave most of the time to other work, and quick ones are not delayed. */
final class SchedulingPassThrottleTest {
  private final SchedulingPassThrottle throttle = new SchedulingPassThrottle();

  @Test
  void firstPassAndPassAfterAQuickOneAreNotDelayed() {
    assertThat(throttle.waitMs(1000)).isAtMost(0L);
    throttle.recordPass(1000, 1000);
    assertThat(throttle.waitMs(1000)).isAtMost(0L);
  }

  @Test
  void slowPassIsFollowedByALongerPause() {
    throttle.recordPass(1000, 1050);
    assertThat(throttle.waitMs(1050)).isAtLeast(150L);
    assertThat(throttle.waitMs(1200)).isAtMost(0L);
  }

  @Test
  void pauseIsBounded() {
    throttle.recordPass(1000, 6000);
    assertThat(throttle.waitMs(6000)).isAtMost(400L);
  }
}
