package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Looks at the queue leave most of the time to other work, and quick ones are not held up. */
final class DecisionPaceTest {
  private final SchedulingPassThrottle pace = new SchedulingPassThrottle();

  @Test
  void theFirstLookAndALookAfterAQuickOneDoNotWait() {
    assertThat(pace.waitMs(1000)).isAtMost(0L);
    pace.recordPass(1000, 1000);
    assertThat(pace.waitMs(1000)).isAtMost(0L);
  }

  @Test
  void aSlowLookIsFollowedByALongerPause() {
    pace.recordPass(1000, 1050);
    assertThat(pace.waitMs(1050)).isAtLeast(150L);
    assertThat(pace.waitMs(1200)).isAtMost(0L);
  }

  @Test
  void thePauseIsBounded() {
    pace.recordPass(1000, 6000);
    assertThat(pace.waitMs(6000)).isAtMost(400L);
  }
}
