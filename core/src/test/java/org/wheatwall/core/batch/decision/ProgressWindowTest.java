package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The projected run time of a task is right whatever part of its progress is seen. */
final class ProgressWindowTest {
  private static final int REPORT_MS = 1000;
  private static final int WORK_MS = 20_000;
  // Rounding to whole percent at both ends of a window of 15% or more.
  private static final double TOLERANCE_MS = WORK_MS / 15.0;

  private static int percentAfter(long workedMs) {
    return (int) (100 * workedMs / WORK_MS);
  }

  private static void work(ProgressWindow window, long clockMs, long workedMs, int reports) {
    for (int i = 1; i <= reports; i++) {
      window.add(clockMs + (long) i * REPORT_MS, percentAfter(workedMs + (long) i * REPORT_MS));
    }
  }

  @Test
  void taskResumedFromACheckpointIsProjectedFromItsRate() {
    ProgressWindow window = new ProgressWindow(0, 50);
    work(window, 0, WORK_MS / 2, 4);
    assertThat(window.totalMs().orElseThrow()).isWithin(TOLERANCE_MS).of(WORK_MS);
    assertThat(window.remainingMs().orElseThrow()).isWithin(TOLERANCE_MS).of(WORK_MS * 0.3);
  }

  @Test
  void delayedStartIsNotPartOfTheRunTime() {
    ProgressWindow window = new ProgressWindow(0, 0);
    window.add(9000, 0);
    work(window, 9000, 0, 4);
    assertThat(window.totalMs().orElseThrow()).isWithin(TOLERANCE_MS).of(WORK_MS);
  }

  @Test
  void progressThatJumpsBackIsMeasuredAnew() {
    ProgressWindow window = new ProgressWindow(0, 90);
    window.add(1000, 10);
    assertThat(window.totalMs().isPresent()).isFalse();
    work(window, 1000, WORK_MS / 10, 4);
    assertThat(window.totalMs().orElseThrow()).isWithin(TOLERANCE_MS).of(WORK_MS);
  }

  @Test
  void fewPercentAreNotMeasured() {
    ProgressWindow window = new ProgressWindow(0, 40);
    window.add(60_000, 42);
    assertThat(window.totalMs().isPresent()).isFalse();
  }

  @Test
  void longTaskShowsTheRecentSpeed() {
    ProgressWindow window = new ProgressWindow(0, 1);
    for (int second = 1; second <= 40; second++) {
      window.add(second * 1000L, 1 + second);
    }
    for (int second = 1; second <= 50; second++) {
      window.add((40 + second) * 1000L, 41 + second / 2);
    }
    assertThat(window.totalMs().orElseThrow()).isWithin(20_000).of(200_000);
  }
}
