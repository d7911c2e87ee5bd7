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
  private static final int COURSES = 20_000;
  private static final int MOST_TRIES = 4;

  /** One request and the truth about it. */
  private static final class Course {
    private final RequestLifecycle lifecycle = new RequestLifecycle();
    private final SplittableRandom random;
    private boolean mayHaveRun;
    private boolean answered;

    private Course(long seed) {
      random = new SplittableRandom(seed);
    }

    private Outcome run() {
      for (int tries = 0; tries < MOST_TRIES; tries++) {
        lifecycle.queued();
        while (random.nextInt(4) == 0) {
          lifecycle.waitAgain();
          lifecycle.queued();
        }
        if (random.nextInt(6) == 0) {
          return lifecycle.fail();
        }
        lifecycle.sending();
        switch (random.nextInt(5)) {
          case 0 -> lifecycle.provenNotRun();
          case 1 -> {
            mayHaveRun = true;
            lifecycle.repeat();
          }
          case 2 -> {
            mayHaveRun = true;
            return lifecycle.fail();
          }
          case 3 -> {
            mayHaveRun = true;
            lifecycle.firstByte();
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
  void everyCourseEndsInTheOneTrueOutcome() {
    int naiveWrong = 0;
    for (long seed = 0; seed < COURSES; seed++) {
      Course course = new Course(seed);
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
