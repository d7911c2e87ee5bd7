package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.model.Outcome;

/**
 * Compares the reported outcome of random requests, with a fault at any point, with what really
 * happened at the runner. A naive implementation, which reports every failure without a response as
 * "not-run", must be detected as wrong.
 */
final class RequestLifecycleTest {
  private static final int RUNS = 20_000;
  private static final int MAX_ATTEMPTS = 4;

  /** One random request and what really happened to it. */
  private static final class RandomRequest {
    private final RequestLifecycle lifecycle = new RequestLifecycle();
    private final SplittableRandom random;
    private boolean mayHaveRun;
    private boolean responded;

    private RandomRequest(long seed) {
      random = new SplittableRandom(seed);
    }

    private Outcome run() {
      for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
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
      responded = true;
      lifecycle.complete();
      return lifecycle.outcome().orElseThrow();
    }
  }

  @Test
  void everyRequestReportsTheTrueOutcomeOnce() {
    int naiveErrors = 0;
    for (long seed = 0; seed < RUNS; seed++) {
      RandomRequest request = new RandomRequest(seed);
      Outcome outcome = request.run();
      Outcome expected =
          request.responded
              ? Outcome.ANSWERED
              : request.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      assertWithMessage("seed " + seed).that(outcome).isEqualTo(expected);
      assertWithMessage("seed " + seed + " ends once")
          .that(request.lifecycle.fail())
          .isEqualTo(outcome);
      Outcome naive = request.responded ? Outcome.ANSWERED : Outcome.NOT_RUN;
      naiveErrors += naive == expected ? 0 : 1;
    }
    assertWithMessage("wrong outcomes of the naive implementation")
        .that(naiveErrors)
        .isAtLeast(1000);
  }
}
