package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The term does not circulate, and hand-overs that help are not limited. */
final class HandOverLimitTest {
  private final HandOverLimit limit = new HandOverLimit();

  // Partitions that follow each other, each with another set of hosts, were limited to two.
  @Test
  void handOversThatHelpAreNotLimited() {
    for (long nowMs = 0; nowMs < 100_000; nowMs += 9000) {
      assertThat(limit.allows(nowMs)).isTrue();
      limit.record(nowMs);
    }
  }

  @Test
  void onlyOneHandOverInHalfAMinuteMayFailToHelp() {
    limit.record(0);
    assertThat(limit.allows(2000)).isTrue();
    limit.record(2000);
    assertThat(limit.allows(4000)).isFalse();
    assertThat(limit.allows(9999)).isFalse();
    assertThat(limit.allows(10_000)).isTrue();
    limit.record(10_000);
    assertThat(limit.allows(12_000)).isFalse();
  }

  @Test
  void theTermChangesHandsAtMostSixTimesInHalfAMinute() {
    int handOvers = 0;
    for (long nowMs = 0; nowMs < 30_000; nowMs += 100) {
      if (limit.allows(nowMs)) {
        limit.record(nowMs);
        handOvers++;
      }
    }
    assertThat(handOvers).isAtMost(6);
  }
}
