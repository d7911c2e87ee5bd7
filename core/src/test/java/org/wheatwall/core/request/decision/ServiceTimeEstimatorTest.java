package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that leave the queue with too little time left for a response. */
final class ServiceTimeEstimatorTest {
  @Test
  void queueingEndsWhileThereIsTimeForAResponse() {
    ServiceTimeEstimator estimator = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.recordDuration(i % 2 == 0 ? 80 : 120);
    }
    assertThat(estimator.meanMs()).isWithin(10).of(100);
    assertThat(estimator.latestSendMs(0, 2000)).isAtMost(2000 - 120);
    assertThat(estimator.latestSendMs(0, 2000)).isAtLeast(2000 - 300);
  }

  @Test
  void requestsToASlowServiceMayWaitForHalfOfTheirTime() {
    ServiceTimeEstimator estimator = new ServiceTimeEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.recordDuration(60_000);
    }
    assertThat(estimator.latestSendMs(1000, 3000)).isEqualTo(2000);
  }
}
