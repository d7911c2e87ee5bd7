package org.wheatwall.entry.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.wire.batch.JobLogCodec;
import org.wheatwall.wire.http.Problems;

/**
 * A host has told the submitter of a job that it does not know whether the log has it, and goes on
 * appending it. Whatever it answers about the job until then must stay true if the append succeeds
 * later.
 */
final class UndecidedSubmissionTest {
  private static final int SCHEDULES = 60;
  private static final int CALLS = 12;
  private static final int SETTLING_MS = 3000;
  private static final int DEADLINE_MS = 1350;
  private static final int MAX_PAUSE_MS = 600;
  private static final int MAX_DELAY_OF_APPENDS_MS = 7000;
  private static final int WORK_MS = 30_000;
  private static final String JOB = SimulatedJobs.id(1);

  private VirtualTime time;
  private SimulatedStore store;
  private SimulatedWorkers workers;
  private SimulatedPeers peers;
  private SimulatedHost host;

  private enum Call {
    SUBMIT,
    FIND,
    CANCEL
  }

  /** What a caller was told; {@code exists} is empty if the call was refused. */
  private record Answer(
      Call call, long atMs, Optional<Boolean> exists, Optional<RefusalKind> refusal) {
    /** Returns whether the caller was told that the job does not exist, or was not accepted. */
    boolean deniesJob() {
      boolean rejected =
          call == Call.SUBMIT
              && refusal.filter(UndecidedSubmissionTest::saysNotAccepted).isPresent();
      return rejected || exists.filter(known -> !known).isPresent();
    }
  }

  private static boolean saysNotAccepted(RefusalKind kind) {
    return kind == RefusalKind.UNAVAILABLE || kind == RefusalKind.LIMIT;
  }

  private void start(long seed) {
    time = new VirtualTime(seed);
    store = new SimulatedStore(time);
    workers = new SimulatedWorkers(time, 2, 8, Optional.empty(), store::confirmedAtMs);
    peers = new SimulatedPeers(time);
    host = addHost("host");
  }

  private SimulatedHost addHost(String name) {
    SimulatedHost added = new SimulatedHost(time, name, store, workers, peers, 6000, Set.of());
    added.start();
    time.runFor(SETTLING_MS);
    return added;
  }

  // Each call is made once the one before it is answered, as by a single caller.
  private Answer call(Call call) {
    long deadlineMs = time.nowMs() + DEADLINE_MS;
    CompletableFuture<Boolean> result =
        switch (call) {
          case SUBMIT ->
              host.batch()
                  .submit(SimulatedJobs.singleTask(JOB, WORK_MS, 1, 0, time.nowMs()), deadlineMs)
                  .thenApply(done -> true);
          case FIND -> host.batch().find(JOB).thenApply(Optional::isPresent);
          case CANCEL ->
              host.batch().cancel(JOB, SimulatedJobs.ANY_OWNER, summary -> {}, deadlineMs);
        };
    while (!result.isDone()) {
      time.runFor(1);
    }
    return new Answer(
        call,
        time.nowMs(),
        result.handle((exists, failure) -> Optional.ofNullable(exists)).join(),
        result
            .handle((exists, failure) -> Optional.ofNullable(failure))
            .join()
            .map(UndecidedSubmissionTest::kindOf));
  }

  private static RefusalKind kindOf(Throwable failure) {
    return ((Refusal) Problems.unwrap(failure)).kind();
  }

  private boolean isAccepted() {
    return call(Call.FIND).exists().orElse(false);
  }

  // Answers of the log are lost, and half of the appends arrive seconds later; at times the log is
  // away altogether. Returns the answers to calls that follow the first attempt.
  private List<Answer> play(long seed) {
    start(seed);
    store.setLossProbability(1);
    Answer first = call(Call.SUBMIT);
    assertThat(first.refusal()).hasValue(RefusalKind.UNKNOWN);
    List<Answer> answers = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      time.runFor(1 + time.random().nextInt(MAX_PAUSE_MS));
      store.setDown(time.random().nextInt(4) == 0, true);
      answers.add(call(Call.values()[time.random().nextInt(Call.values().length)]));
    }
    store.setDown(false, false);
    store.setLossProbability(0);
    time.runFor(MAX_DELAY_OF_APPENDS_MS + DEADLINE_MS);
    assertWithMessage("seed %s: the log has the job in the end", seed).that(isAccepted()).isTrue();
    return answers;
  }

  @Test
  void noAnswerDeniesAJobThatIsStillBeingAppended() {
    int undecided = 0;
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      for (Answer answer : play(seed)) {
        undecided += answer.exists().isEmpty() ? 1 : 0;
        assertWithMessage("seed %s: %s", seed, answer).that(answer.deniesJob()).isFalse();
      }
    }
    // Otherwise all calls were made after the log had answered.
    assertThat(undecided).isAtLeast(SCHEDULES);
  }

  // Guards against a cancellation that is answered with "no such job" while the submission is still
  // on its way, so that the job runs after its submitter believes it cancelled.
  @Test
  void aJobThatIsCancelledWhileItIsAppendedNeverRuns() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      start(seed);
      store.setDown(true, true);
      assertThat(call(Call.SUBMIT).refusal()).hasValue(RefusalKind.UNKNOWN);
      store.setDown(false, false);
      Answer cancelled = call(Call.CANCEL);
      time.runFor(MAX_DELAY_OF_APPENDS_MS + DEADLINE_MS);
      assertCancelled(seed, cancelled);
    }
  }

  private void assertCancelled(long seed, Answer cancelled) {
    boolean confirmed = cancelled.exists().isPresent();
    assertWithMessage("seed %s: %s", seed, cancelled)
        .that(confirmed && !workers.ledger().running().isEmpty())
        .isFalse();
  }

  // Guards against a job that runs although its cancellation was acknowledged: the submission that
  // it followed was refused by the log, and a repeat at another host was appended after it.
  @Test
  void aJobWhoseCancellationPrecedesItsDefinitionNeverRuns() {
    start(1);
    LogEntry cancellation =
        LogEntry.of(LogKey.cancel(JOB), new LogContent.Cancellation(time.nowMs()));
    KeyedRecord record =
        new KeyedRecord(cancellation.key().text(), JobLogCodec.encodeValue(cancellation));
    store
        .logOf(host)
        .append(new KeyedLog.AppendCall(List.of(record), OptionalLong.empty(), "other host", 1, 1));
    time.runFor(SETTLING_MS);
    assertThat(call(Call.SUBMIT).exists()).hasValue(true);
    time.runFor(SETTLING_MS);
    assertThat(workers.ledger().running()).isEmpty();
    assertThat(state()).isEqualTo(BatchState.CANCELLED);
  }

  // Guards against the answer that there is no such job while its record waits behind an append.
  @Test
  void noAnswerDeniesAJobThatWaitsToBeAppended() {
    start(1);
    store.setDown(true, true);
    CompletableFuture<Void> earlier = submit(SimulatedJobs.id(2));
    CompletableFuture<Void> queued = submit(JOB);
    store.setDown(false, false);
    time.runFor(1);
    Answer found = call(Call.FIND);
    Answer cancelled = call(Call.CANCEL);
    time.runFor(MAX_DELAY_OF_APPENDS_MS + DEADLINE_MS);
    assertThat(earlier.isDone()).isTrue();
    assertThat(queued.isCompletedExceptionally()).isFalse();
    assertWithMessage("%s", found).that(found.deniesJob()).isFalse();
    assertThat(cancelled.exists()).hasValue(true);
    assertThat(state()).isEqualTo(BatchState.CANCELLED);
  }

  private BatchState state() {
    CompletableFuture<Optional<BatchHost.JobSummary>> found = host.batch().find(JOB);
    time.runFor(SETTLING_MS);
    return found.join().orElseThrow().state();
  }

  private CompletableFuture<Void> submit(String id) {
    return host.batch()
        .submit(
            SimulatedJobs.singleTask(id, WORK_MS, 1, 0, time.nowMs()), time.nowMs() + DEADLINE_MS);
  }

  // The host that appends the job reaches the log again only after another host has cancelled it.
  @Test
  void aJobThatIsCancelledAtAnotherHostNeverRuns() {
    int unknownJobs = 0;
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      start(seed);
      SimulatedHost first = host;
      store.setPartitioned(first, true);
      assertThat(call(Call.SUBMIT).refusal()).hasValue(RefusalKind.UNKNOWN);
      host = addHost("other");
      Answer cancelled = call(Call.CANCEL);
      unknownJobs += cancelled.exists().filter(known -> !known).isPresent() ? 1 : 0;
      store.setPartitioned(first, false);
      time.runFor(MAX_DELAY_OF_APPENDS_MS + DEADLINE_MS);
      assertWithMessage("seed %s: the log has the job in the end", seed)
          .that(isAccepted())
          .isTrue();
      assertCancelled(seed, cancelled);
    }
    assertThat(unknownJobs).isGreaterThan(SCHEDULES / 2);
  }
}
