package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.model.Outcome;
import org.wheatwall.core.request.model.Runner;

final class RequestLimitsTest {
  @Test
  void failureIsNotRunOnlyBeforeAnyByteIsSent() {
    RequestLifecycle queued = new RequestLifecycle();
    queued.onQueued();
    assertThat(queued.fail()).isEqualTo(Outcome.NOT_RUN);
    RequestLifecycle sent = new RequestLifecycle();
    sent.onSending();
    assertThat(sent.fail()).isEqualTo(Outcome.UNKNOWN);
    RequestLifecycle refused = new RequestLifecycle();
    refused.onSending();
    refused.onNotRun();
    assertThat(refused.fail()).isEqualTo(Outcome.NOT_RUN);
    RequestLifecycle repeated = new RequestLifecycle();
    repeated.onSending();
    repeated.onRetry();
    repeated.onQueued();
    assertThat(repeated.fail()).isEqualTo(Outcome.UNKNOWN);
    assertThrows(IllegalStateException.class, repeated::complete);
  }

  @Test
  void retriesStayWithinTheirShareOfFirstTries() {
    RetryBudget budget = new RetryBudget(10);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    assertThat(retries).isAtMost(1001);
    assertThat(retries).isAtLeast(990);
  }

  @Test
  void unusedRetriesDoNotAccumulateIntoABurst() {
    RetryBudget budget = new RetryBudget(10);
    for (int i = 0; i < 100_000; i++) {
      budget.onFirstAttempt();
    }
    int retries = 0;
    while (budget.tryAcquire()) {
      retries++;
    }
    assertThat(retries).isAtMost(RetryBudget.MAX_TOKENS);
  }

  @Test
  void oneWorkspaceCannotCrowdOutAnother() {
    FairQueue<String> queue = new FairQueue<>(100);
    for (int i = 0; i < 100; i++) {
      queue.add("loud", 1, "loud", 1000);
    }
    for (int i = 0; i < 30; i++) {
      assertThat(queue.add("quiet", 1, "quiet", 1000)).hasValue("loud");
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      served.merge(queue.poll().orElseThrow(), 1, Integer::sum);
    }
    assertThat(served).containsExactly("loud", 30, "quiet", 30);
  }

  @Test
  void weightsDecideTheShares() {
    FairQueue<String> queue = new FairQueue<>(1000);
    for (int i = 0; i < 300; i++) {
      queue.add("heavy", 3, "heavy", 1000);
      queue.add("light", 1, "light", 1000);
    }
    int heavy = 0;
    for (int i = 0; i < 200; i++) {
      heavy += queue.poll().orElseThrow().equals("heavy") ? 1 : 0;
    }
    assertThat(heavy).isIn(List.of(149, 150, 151));
  }

  @Test
  void nothingIsServedAfterItsDeadline() {
    FairQueue<String> queue = new FairQueue<>(10);
    queue.add("w", 1, "late", 50);
    queue.add("w", 1, "early", 150);
    assertThat(queue.expire(100)).containsExactly("late");
    assertThat(queue.poll()).isEqualTo(Optional.of("early"));
  }

  @Test
  void slotsAreNeverExceededAndATakenOverRunnerIsDisabledAtFirst() {
    RunnerPool pool = new RunnerPool(1);
    Runner runner = new Runner("r", "s", "z", "127.0.0.1:1", false, 8);
    pool.setOwned(List.of(runner), Set.of("r"), 5000, 0);
    assertThat(pool.acquire(Set.of(), 4999)).isEmpty();
    int taken = 0;
    while (pool.acquire(Set.of(), 10_000).isPresent()) {
      taken++;
    }
    assertThat(taken).isEqualTo(8);
    pool.setOwned(List.of(new Runner("r", "s", "z", "127.0.0.1:1", true, 8)), Set.of(), 0, 10_000);
    pool.release("r");
    assertThat(pool.acquire(Set.of(), 20_000)).isEmpty();
  }

  @Test
  void ejectionStopsBeforeMostRunnersAreEjected() {
    RunnerPool pool = new RunnerPool(1);
    Runner one = new Runner("one", "s", "z", "127.0.0.1:1", false, 8);
    Runner two = new Runner("two", "s", "z", "127.0.0.1:2", false, 8);
    pool.setOwned(List.of(one, two), Set.of(), 0, 0);
    for (int i = 0; i < 5; i++) {
      pool.onResult("one", false, 1, 10_000);
    }
    assertThat(pool.acquire(Set.of(), 10_000).map(Runner::name)).hasValue("two");
    for (int i = 0; i < 5; i++) {
      pool.onResult("two", false, 1, 10_000);
    }
    assertThat(pool.acquire(Set.of(), 10_000)).isPresent();
  }

  @Test
  void slowRunnerGetsFewerSlotsUntilItRecovers() {
    RunnerPool pool = new RunnerPool(1);
    List<String> names = List.of("one", "two", "three");
    List<Runner> runners =
        names.stream().map(n -> new Runner(n, "s", "z", "127.0.0.1:1", false, 8)).toList();
    pool.setOwned(runners, Set.of(), 0, 0);
    recordResults(pool, names, 20, 40);
    assertThat(pool.freeSlots(10_000)).isEqualTo(24);
    for (int i = 0; i < 20; i++) {
      recordResults(pool, List.of("two", "three"), 20, 5);
      recordResults(pool, List.of("one"), 400, 1);
    }
    int slow = pool.freeSlots(10_000) - 16;
    assertThat(slow).isAtLeast(1);
    assertThat(slow).isAtMost(3);
    recordResults(pool, names, 20, 60);
    assertThat(pool.freeSlots(10_000)).isEqualTo(24);
    recordResults(pool, names, 900, 60);
    assertThat(pool.freeSlots(10_000)).isEqualTo(24);
  }

  private static void recordResults(RunnerPool pool, List<String> names, double tookMs, int count) {
    for (int i = 0; i < count; i++) {
      names.forEach(name -> pool.onResult(name, true, tookMs, 10_000));
    }
  }
}
