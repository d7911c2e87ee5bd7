package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Catches requests that leave the queue with too little time left for an answer. */
final class ServiceTimeEstimatorTest {
  @Test
  void queueingEndsWhileThereIsTimeForAResponse() {
    ServiceTimeEstimator time = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      time.record(i % 2 == 0 ? 80 : 120);
    }
    assertThat(time.meanMs()).isWithin(10).of(100);
    assertThat(time.latestSendMs(0, 2000)).isAtMost(2000 - 120);
    assertThat(time.latestSendMs(0, 2000)).isAtLeast(2000 - 300);
  }

  @Test
  void requestsToASlowServiceMayWaitForHalfOfTheirTime() {
    ServiceTimeEstimator time = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      time.record(60_000);
    }
    assertThat(time.latestSendMs(1000, 3000)).isEqualTo(2000);
  }
}
