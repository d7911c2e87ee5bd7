package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Callers come back soon after a short trouble, later after a long one, never too late. */
final class ReturnTimeTest {
  @Test
  void aLogThatAnswersMakesCallersComeBackSoon() {
    assertThat(RetryAfter.seconds(0)).isEqualTo(1);
    assertThat(RetryAfter.seconds(1900)).isEqualTo(1);
  }

  @Test
  void theWaitGrowsWithTheOutage() {
    assertThat(RetryAfter.seconds(2100)).isEqualTo(2);
    assertThat(RetryAfter.seconds(3100)).isEqualTo(3);
  }

  @Test
  void theWaitIsBounded() {
    assertThat(RetryAfter.seconds(60_000)).isEqualTo(3);
  }

  @Test
  void fiveTriesSpanSevenSecondsOfAnOutage() {
    long awayMs = 0;
    for (int tries = 1; tries < 5; tries++) {
      awayMs += 1000L * RetryAfter.seconds(awayMs);
    }
    assertThat(awayMs).isAtLeast(7000);
  }
}
