package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Callers come back soon after a short trouble, later after a long one, never too late. */
final class RetryAfterTest {
  @Test
  void delayIsShortWhileTheLogResponds() {
    assertThat(ReturnTime.afterSeconds(0)).isEqualTo(1);
    assertThat(ReturnTime.afterSeconds(1900)).isEqualTo(1);
  }

  @Test
  void delayGrowsWithTheOutage() {
    assertThat(ReturnTime.afterSeconds(2100)).isEqualTo(2);
    assertThat(ReturnTime.afterSeconds(3100)).isEqualTo(3);
  }

  @Test
  void delayIsBounded() {
    assertThat(ReturnTime.afterSeconds(60_000)).isEqualTo(3);
  }

  @Test
  void fiveAttemptsSpanSevenSecondsOfAnOutage() {
    long awayMs = 0;
    for (int tries = 1; tries < 5; tries++) {
      awayMs += 1000L * ReturnTime.afterSeconds(awayMs);
    }
    assertThat(awayMs).isAtLeast(7000);
  }
}
