package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.model.Outcome;

/**
 * Random courses of a request, with a fault at any point, against what really happened at the
 * runner. The naive version calls every failure without an answer "not-run"; it must be caught.
 */
final class RequestLifecycleTest {
  private static final int RUNS = 20_000;
  private static final int MAX_ATTEMPTS = 4;

  /** One request and the truth about it. */
  private static final class RandomRequest {
    private final RequestLifecycle lifecycle = new RequestLifecycle();
    private final SplittableRandom random;
    private boolean mayHaveRun;
    private boolean answered;

    private RandomRequest(long seed) {
      random = new SplittableRandom(seed);
    }

    private Outcome run() {
      for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
        lifecycle.onQueued();
        while (random.nextInt(4) == 0) {
          lifecycle.onDequeuedUnsent();
          lifecycle.onQueued();
        }
        if (random.nextInt(6) == 0) {
          return lifecycle.fail();
        }
        lifecycle.onSending();
        switch (random.nextInt(5)) {
          case 0 -> lifecycle.onNotRun();
          case 1 -> {
            mayHaveRun = true;
            lifecycle.onRetry();
          }
          case 2 -> {
            mayHaveRun = true;
            return lifecycle.fail();
          }
          case 3 -> {
            mayHaveRun = true;
            lifecycle.onFirstByte();
            if (random.nextBoolean()) {
              return lifecycle.fail();
            }
            return complete();
          }
          default -> {
            mayHaveRun = true;
            return complete();
          }
        }
      }
      return lifecycle.fail();
    }

    private Outcome complete() {
      answered = true;
      lifecycle.complete();
      return lifecycle.outcome().orElseThrow();
    }
  }

  @Test
  void everyRequestReportsTheTrueOutcomeOnce() {
    int naiveWrong = 0;
    for (long seed = 0; seed < RUNS; seed++) {
      RandomRequest course = new RandomRequest(seed);
      Outcome outcome = course.run();
      Outcome truth =
          course.answered
              ? Outcome.ANSWERED
              : course.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      assertWithMessage("seed " + seed).that(outcome).isEqualTo(truth);
      assertWithMessage("seed " + seed + " ends once")
          .that(course.lifecycle.fail())
          .isEqualTo(outcome);
      Outcome naive = course.answered ? Outcome.ANSWERED : Outcome.NOT_RUN;
      naiveWrong += naive == truth ? 0 : 1;
    }
    assertWithMessage("wrong outcomes of the naive version").that(naiveWrong).isAtLeast(1000);
  }
}
