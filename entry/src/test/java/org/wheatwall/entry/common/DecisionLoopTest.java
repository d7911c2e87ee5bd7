package org.wheatwall.entry.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that tasks of the loop can neither block nor stop it. */
final class DecisionLoopTest {
  private static final int TASK_COUNT = 5000;

  // A loop that waits for free space in its own ring would wait forever.
  @Test
  void taskMaySubmitMoreTasksThanTheRingHolds() throws InterruptedException {
    DecisionLoop loop = new DecisionLoop(Thread::new);
    loop.start();
    CountDownLatch done = new CountDownLatch(TASK_COUNT);
    loop.execute(
        () -> {
          for (int i = 0; i < TASK_COUNT; i++) {
            loop.execute(done::countDown);
          }
        });
    assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
    loop.stop();
  }

  @Test
  void failingTaskDoesNotStopTheLoop() throws InterruptedException {
    DecisionLoop loop = new DecisionLoop(Thread::new);
    loop.start();
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          throw new IllegalStateException("on purpose");
        });
    loop.execute(done::countDown);
    assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
    loop.stop();
  }
}
