package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The delay before callers retry grows with the length of an outage, up to a bound. */
final class RetryAfterTest {
  @Test
  void delayIsShortWhileTheLogResponds() {
    assertThat(RetryAfter.seconds(0)).isEqualTo(1);
    assertThat(RetryAfter.seconds(1900)).isEqualTo(1);
  }

  @Test
  void delayGrowsWithTheOutage() {
    assertThat(RetryAfter.seconds(2100)).isEqualTo(2);
    assertThat(RetryAfter.seconds(3100)).isEqualTo(3);
  }

  @Test
  void delayIsBounded() {
    assertThat(RetryAfter.seconds(60_000)).isEqualTo(3);
  }

  @Test
  void fiveAttemptsSpanSevenSecondsOfAnOutage() {
    long outageMs = 0;
    for (int attempts = 1; attempts < 5; attempts++) {
      outageMs += 1000L * RetryAfter.seconds(outageMs);
    }
    assertThat(outageMs).isAtLeast(7000);
  }
}
