package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.http.Problems;

/**
 * Over random orders of refused, lost, late and answered appends, deadlines, repeats and
 * recoveries: an acknowledged job is in the log once, and a job that was only refused never is.
 */
final class AcknowledgedSubmissionsTest {
  private static final int SCHEDULES = Integer.getInteger("wheatwall.schedules", 300);
  private static final long FIRST_SEED = Long.getLong("wheatwall.seed", 1);
  private static final int JOBS = 60;
  private static final int MAX_PAUSE_MS = 120;
  private static final int MAX_DEADLINE_MS = 1500;
  private static final int MAX_STORE_PHASE_MS = 400;
  private static final int MAX_APPEND_LATENCY_MS = 500;
  private static final int LEASE_MS = 6000;
  private static final int SETTLING_MS = 20_000;
  private static final double REPEATED_SHARE = 0.7;

  private VirtualTime time;
  private SimulatedStore store;
  private JobIntake intake;
  private boolean disturbing;
  private int unanswered;
  private final Map<String, List<Optional<RefusalKind>>> answersByJob = new HashMap<>();
  private final List<String> acknowledgedWithoutRecord = new ArrayList<>();

  private void play(long seed) {
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    SimulatedWorkers workers =
        new SimulatedWorkers(time, 1, 8, Optional.empty(), store::confirmedAtMs);
    SimulatedHost host =
        new SimulatedHost(
            time, "host", store, workers, new SimulatedPeers(time), LEASE_MS, Set.of());
    intake =
        new JobIntake(
            "test",
            store.logOf(host),
            new BatchContext(
                Runnable::run,
                time::after,
                clock(),
                new DecisionLog(clock()),
                new MetricRegistry()));
    answersByJob.clear();
    acknowledgedWithoutRecord.clear();
    disturbing = true;
    changeStore();
    tick();
    for (int number = 1; number <= JOBS; number++) {
      submit(SimulatedJobs.id(number));
      time.runFor(time.random().nextInt(MAX_PAUSE_MS));
    }
    disturbing = false;
    time.runFor(MAX_STORE_PHASE_MS);
    store.setDown(false, false);
    store.setLossProbability(0);
    time.runFor(SETTLING_MS);
  }

  private void changeStore() {
    if (!disturbing) {
      return;
    }
    store.setDown(time.random().nextInt(3) == 0, time.random().nextInt(3) == 0);
    store.setLossProbability(time.random().nextInt(2) * 0.5);
    store.setLatencyMs(1 + time.random().nextInt(MAX_APPEND_LATENCY_MS));
    time.after(1 + time.random().nextInt(MAX_STORE_PHASE_MS), this::changeStore);
  }

  private void tick() {
    intake.expire();
    if (time.random().nextInt(4) == 0) {
      intake.logRecovered();
    }
    time.after(50 + time.random().nextInt(200), this::tick);
  }

  private void submit(String id) {
    // A host answers for a job that it has read from the log without appending it again.
    if (records(id) > 0 && intake.undecidedJob(id).isEmpty()) {
      return;
    }
    BatchJob job = SimulatedJobs.singleTask(id, 1000, 1, 0, time.nowMs());
    long deadlineMs = time.nowMs() + 1 + time.random().nextInt(MAX_DEADLINE_MS);
    unanswered++;
    CompletableFuture<Void> answer = intake.accept(job, 0, deadlineMs);
    answer.whenComplete((done, failure) -> onAnswer(id, Optional.ofNullable(failure)));
  }

  private void onAnswer(String id, Optional<Throwable> failure) {
    Optional<RefusalKind> refusal = failure.map(cause -> ((Refusal) Problems.unwrap(cause)).kind());
    unanswered--;
    answersByJob.computeIfAbsent(id, key -> new ArrayList<>()).add(refusal);
    if (refusal.isEmpty() && records(id) != 1) {
      acknowledgedWithoutRecord.add(id);
    } else if (refusal.isPresent() && disturbing && time.random().nextDouble() < REPEATED_SHARE) {
      time.after(time.random().nextInt(MAX_PAUSE_MS), () -> submit(id));
    }
  }

  private long records(String id) {
    return store.countRecords(LogKey.job(id).text());
  }

  private void check(long seed) {
    assertWithMessage("seed %s: answered jobs", seed).that(answersByJob).hasSize(JOBS);
    assertWithMessage("seed %s: attempts without an answer", seed).that(unanswered).isEqualTo(0);
    assertWithMessage("seed %s: acknowledged before their record was appended", seed)
        .that(acknowledgedWithoutRecord)
        .isEmpty();
    answersByJob.forEach(
        (id, answers) -> {
          boolean acknowledged = answers.contains(Optional.<RefusalKind>empty());
          boolean alwaysRefused =
              answers.stream().allMatch(Optional.of(RefusalKind.UNAVAILABLE)::equals);
          assertWithMessage("seed %s: %s, answers %s", seed, id, answers)
              .that(records(id))
              .isIn(Range.closed(acknowledged ? 1L : 0L, alwaysRefused ? 0L : 1L));
        });
  }

  private Clock clock() {
    return new Clock() {
      @Override
      public long nowMs() {
        return time.nowMs();
      }

      @Override
      public long wallMs() {
        return time.nowMs();
      }
    };
  }

  @Test
  void acknowledgedJobsAreInTheLogOnceAndRefusedOnesNever() {
    int acknowledged = 0;
    int unknown = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      play(seed);
      check(seed);
      for (List<Optional<RefusalKind>> answers : answersByJob.values()) {
        acknowledged += answers.contains(Optional.<RefusalKind>empty()) ? 1 : 0;
        unknown += answers.contains(Optional.of(RefusalKind.UNKNOWN)) ? 1 : 0;
      }
    }
    assertThat(acknowledged).isGreaterThan(SCHEDULES * JOBS / 4);
    assertThat(unknown).isGreaterThan(SCHEDULES * JOBS / 10);
  }
}
