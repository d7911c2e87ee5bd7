package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The delay before callers retry grows with the length of an outage, up to a bound. */
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
    long outageMs = 0;
    for (int attempts = 1; attempts < 5; attempts++) {
      outageMs += 1000L * ReturnTime.afterSeconds(outageMs);
    }
    assertThat(outageMs).isAtLeast(7000);
  }
}
