package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Catches requests that leave the queue with too little time left for an answer. */
final class ServiceTimeTest {
  @Test
  void waitEndsWhileThereIsTimeForAnAnswer() {
    ServiceTime time = new ServiceTime();
    for (int i = 0; i < 100; i++) {
      time.note(i % 2 == 0 ? 80 : 120);
    }
    assertThat(time.meanMs()).isWithin(10).of(100);
    assertThat(time.latestStartMs(0, 2000)).isAtMost(2000 - 120);
    assertThat(time.latestStartMs(0, 2000)).isAtLeast(2000 - 300);
  }

  @Test
  void slowServiceIsStillTriedForHalfOfTheTime() {
    ServiceTime time = new ServiceTime();
    for (int i = 0; i < 100; i++) {
      time.note(60_000);
    }
    assertThat(time.latestStartMs(1000, 3000)).isEqualTo(2000);
  }
}
