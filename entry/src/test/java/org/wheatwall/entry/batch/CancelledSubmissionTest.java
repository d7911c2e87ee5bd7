package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.wire.http.Problems;

/**
 * Over random orders of submissions, repeats at other hosts, hosts that the log turns away or that
 * stand still, and cancellations: a job whose cancellation was acknowledged never runs, whichever
 * host still had a submission of it, and one that is submitted after that does.
 */
final class CancelledSubmissionTest {
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 150);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 1);
  private static final int HOSTS = 4;
  private static final int SETTLING_MS = 4000;
  private static final int CALL_MS = 3000;
  private static final int MAX_STANDSTILL_MS = 6000;
  private static final int MAX_APPEND_DELAY_MS = 8000;
  private static final int WORK_MS = 60_000;
  private static final String JOB = SimulatedJobs.id(1);

  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;
  private final List<SimulatedHost> hosts = new ArrayList<>();

  private void start(long seed) {
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers = new SimulatedWorkers(time, 2, 8, Optional.empty(), store::confirmedAtMs);
    SimulatedPeers peers = new SimulatedPeers(time);
    hosts.clear();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new SimulatedHost(time, "host-" + i, store, workers, peers, 6000, Set.of()));
    }
    hosts.forEach(SimulatedHost::start);
    time.runFor(SETTLING_MS);
  }

  private CompletableFuture<Void> submit(SimulatedHost host) {
    return host.batch()
        .submit(SimulatedJobs.singleTask(JOB, WORK_MS, 1, 0, time.nowMs()), time.nowMs() + CALL_MS);
  }

  // Returns whether the caller was told that the job is cancelled or does not exist.
  private boolean cancel(SimulatedHost host, CancelScope scope) {
    CompletableFuture<Boolean> answer =
        host.batch().cancel(JOB, scope, summary -> {}, time.nowMs() + CALL_MS);
    time.runFor(CALL_MS);
    return answer.isDone() && !answer.isCompletedExceptionally();
  }

  private void disturb(SimulatedHost host) {
    switch (time.random().nextInt(3)) {
      case 0 -> store.setPartitioned(host, true);
      case 1 -> host.freeze(1500L + time.random().nextInt(MAX_STANDSTILL_MS));
      default -> store.setLossProbability(0.7);
    }
  }

  private void endDisturbances() {
    hosts.forEach(host -> store.setPartitioned(host, false));
    store.setLossProbability(0);
    time.runFor(MAX_STANDSTILL_MS + MAX_APPEND_DELAY_MS);
  }

  private boolean runs() {
    return !workers.ledger().running().isEmpty();
  }

  @Test
  void noSubmissionBeforeAnAcknowledgedCancellationRuns() {
    int acknowledged = 0;
    int undecided = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      start(seed);
      disturb(hosts.get(0));
      CompletableFuture<Void> first = submit(hosts.get(0));
      time.runFor(time.random().nextInt(1500));
      if (time.random().nextBoolean()) {
        disturb(hosts.get(1));
        submit(hosts.get(1));
        time.runFor(time.random().nextInt(1500));
      }
      undecided += first.isDone() && !first.isCompletedExceptionally() ? 0 : 1;
      boolean cancelled = cancel(hosts.get(2), SimulatedJobs.ANY_OWNER);
      acknowledged += cancelled ? 1 : 0;
      endDisturbances();
      assertWithMessage("seed %s: the cancelled job runs", seed)
          .that(cancelled && runs())
          .isFalse();
    }
    assertThat(acknowledged).isGreaterThan(SCHEDULES / 2);
    assertThat(undecided).isGreaterThan(SCHEDULES / 4);
  }

  // A host that has not read the cancellation yet refuses the submission once, or runs the job.
  @Test
  void aSubmissionAfterAnAcknowledgedCancellationOfAnUnknownJobRuns() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      start(seed);
      disturb(hosts.get(0));
      submit(hosts.get(0));
      time.runFor(time.random().nextInt(1500));
      store.setLossProbability(0);
      CompletableFuture<Boolean> answer =
          hosts
              .get(1)
              .batch()
              .cancel(JOB, SimulatedJobs.ANY_OWNER, summary -> {}, time.nowMs() + CALL_MS);
      while (!answer.isDone()) {
        time.runFor(1);
      }
      boolean unknown = !answer.isCompletedExceptionally() && !answer.join();
      boolean accepted = unknown && submitUntilAnswered(hosts.get(2), seed);
      endDisturbances();
      assertWithMessage("seed %s: the job submitted anew runs", seed)
          .that(runs())
          .isEqualTo(accepted);
    }
  }

  private boolean submitUntilAnswered(SimulatedHost host, long seed) {
    for (int attempt = 0; attempt < 3; attempt++) {
      CompletableFuture<Void> answer = submit(host);
      time.runFor(CALL_MS);
      if (!answer.isCompletedExceptionally()) {
        assertWithMessage("seed %s: the submission is answered", seed)
            .that(answer.isDone())
            .isTrue();
        return true;
      }
      RefusalKind kind =
          answer.handle((done, failure) -> ((Refusal) Problems.unwrap(failure)).kind()).join();
      assertThat(kind).isAnyOf(RefusalKind.UNAVAILABLE, RefusalKind.UNKNOWN);
    }
    throw new AssertionError("seed " + seed + ": the submission is refused again and again");
  }

  @Test
  void callersOfOtherWorkspacesDoNotCancelSubmissionsThatAreUndecided() {
    start(1);
    store.setPartitioned(hosts.get(0), true);
    submit(hosts.get(0));
    time.runFor(CALL_MS);
    assertThat(cancel(hosts.get(1), new CancelScope("other", Optional.empty()))).isTrue();
    endDisturbances();
    assertThat(runs()).isTrue();
  }

  @Test
  void cancellationsOfUnknownJobsAreDroppedAfterTheRetentionTime() {
    start(1);
    assertThat(cancel(hosts.get(1), SimulatedJobs.ANY_OWNER)).isTrue();
    assertThat(store.countRecords(LogKey.cancel(JOB).text())).isEqualTo(1);
    time.runFor(SimulatedHost.RETENTION_MS + SETTLING_MS + MAX_APPEND_DELAY_MS);
    assertThat(store.holds(LogKey.cancel(JOB).text())).isFalse();
  }
}
