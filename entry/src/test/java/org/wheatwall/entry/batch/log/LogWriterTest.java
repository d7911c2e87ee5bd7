package org.wheatwall.entry.batch.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.wheatwall.entry.common.Clock;

/** Each record is appended once, whether or not responses are lost. */
final class LogWriterTest {
  private final FakeLog log = new FakeLog();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final List<Long> confirmed = new ArrayList<>();
  private long nowMs = 1000;

  private final Clock clock =
      new Clock() {
        @Override
        public long nowMs() {
          return nowMs;
        }

        @Override
        public long wallMs() {
          return nowMs;
        }
      };

  private final LogWriter writer =
      new LogWriter(log, "p", 3, 10, Runnable::run, this::schedule, clock, confirmed::add);

  // Keeps only retries; the tests check deadlines explicitly.
  private void schedule(long ms, Runnable task) {
    if (ms <= 300) {
      timers.add(task);
    }
  }

  /** Completes each call as the test requests. */
  private static final class FakeLog implements KeyedLog {
    private final List<AppendCall> calls = new ArrayList<>();
    private final List<CompletableFuture<Appended>> responses = new ArrayList<>();

    @Override
    public CompletableFuture<Appended> append(AppendCall call) {
      calls.add(call);
      responses.add(new CompletableFuture<>());
      return responses.get(responses.size() - 1);
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int waitMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<NewestPage> newest(Optional<String> afterKey) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Long> end() {
      throw new UnsupportedOperationException();
    }

    private void fail(LogFailure.Kind kind) {
      responses.get(responses.size() - 1).completeExceptionally(new LogFailure(kind, "test"));
    }

    private void accept() {
      responses.get(responses.size() - 1).complete(new Appended(0));
    }

    // Whatever a call without a response carries may still be appended under its number.
    private void assertNoNumberInFlightIsReused() {
      for (int i = 0; i < calls.size(); i++) {
        for (AppendCall later : calls.subList(i + 1, calls.size())) {
          if (!responses.get(i).isDone() && later.sequence() == calls.get(i).sequence()) {
            assertThat(later.records()).isEqualTo(calls.get(i).records());
          }
        }
      }
    }
  }

  private CompletableFuture<Void> append(String key, long deadlineMs) {
    return writer.append(List.of(new KeyedRecord(key, new byte[] {1})), deadlineMs);
  }

  private static LogFailure.Kind kindOf(CompletableFuture<Void> future) {
    try {
      future.join();
    } catch (CompletionException e) {
      return LogFailure.of(e).kind();
    }
    throw new AssertionError("the append did not fail");
  }

  @Test
  void aCallWithoutAResponseIsRetriedWithTheSameSequenceNumber() {
    CompletableFuture<Void> result = append("a", 5000);
    log.fail(LogFailure.Kind.UNKNOWN);
    timers.poll().run();
    assertThat(log.calls.get(1).sequence()).isEqualTo(10);
    assertThat(log.calls.get(1).records()).isEqualTo(log.calls.get(0).records());
    log.accept();
    assertThat(result.isDone()).isTrue();
    append("b", 5000);
    assertThat(log.calls.get(2).sequence()).isEqualTo(11);
  }

  @Test
  void recordsQueuedDuringACallAreSentTogether() {
    append("a", 5000);
    append("b", 5000);
    append("c", 5000);
    log.accept();
    assertThat(log.calls).hasSize(2);
    assertThat(log.calls.get(1).records()).hasSize(2);
  }

  @Test
  void notDoneIsReportedOnlyForRecordsThatCanNoLongerBeAppended() {
    CompletableFuture<Void> sent = append("a", 2000);
    CompletableFuture<Void> queued = append("b", 2000);
    log.fail(LogFailure.Kind.UNKNOWN);
    nowMs = 2500;
    writer.expire();
    assertThat(kindOf(sent)).isEqualTo(LogFailure.Kind.UNKNOWN);
    assertThat(kindOf(queued)).isEqualTo(LogFailure.Kind.NOT_DONE);
    timers.poll().run();
    log.accept();
    assertThat(log.calls.get(log.calls.size() - 1).records()).hasSize(1);
  }

  @Test
  void theRetryOfARefusedCallOmitsExpiredRecords() {
    CompletableFuture<Void> late = append("a", 1100);
    log.fail(LogFailure.Kind.NOT_DONE);
    nowMs = 1200;
    writer.expire();
    assertThat(kindOf(late)).isEqualTo(LogFailure.Kind.NOT_DONE);
    append("b", 5000);
    assertThat(log.calls.get(log.calls.size() - 1).records().get(0).key()).isEqualTo("b");
    assertThat(log.calls.get(log.calls.size() - 1).sequence()).isEqualTo(10);
  }

  // The store does not count a call without records, so the sequence numbers after a counted one
  // would be wrong.
  @Test
  void waitingForEarlierRecordsSendsNothing() {
    append("a", 5000);
    CompletableFuture<Void> all = writer.appendedSoFar();
    assertThat(all.isDone()).isFalse();
    log.accept();
    assertThat(all.isDone()).isTrue();
    assertThat(log.calls).hasSize(1);
    append("b", 5000);
    assertThat(log.calls.get(1).sequence()).isEqualTo(11);
  }

  // Guards against success that is concluded from the absence of earlier records.
  @Test
  void waitingForEarlierRecordsFailsIfOneOfThemIsAbandoned() {
    append("a", 1100);
    append("b", 5000);
    CompletableFuture<Void> all = writer.appendedSoFar();
    nowMs = 1200;
    writer.expire();
    log.fail(LogFailure.Kind.NOT_DONE);
    log.accept();
    assertThat(log.calls.get(1).records().get(0).key()).isEqualTo("b");
    assertThat(kindOf(all)).isEqualTo(LogFailure.Kind.UNKNOWN);
  }

  @Test
  void aRecordThatIsAwaitedAgainIsNotAbandoned() {
    CompletableFuture<Void> first = append("a", 1500);
    nowMs = 1600;
    writer.expire();
    CompletableFuture<Void> again = writer.awaitInFlight("a", 3000).orElseThrow();
    log.fail(LogFailure.Kind.NOT_DONE);
    timers.poll().run();
    assertThat(log.calls.get(1).records().get(0).key()).isEqualTo("a");
    log.accept();
    assertThat(kindOf(first)).isEqualTo(LogFailure.Kind.UNKNOWN);
    assertThat(again.isCompletedExceptionally()).isFalse();
    assertThat(again.isDone()).isTrue();
  }

  @Test
  void aCallerIsToldAtItsDeadlineThoughAnotherWaitsForTheRecord() {
    CompletableFuture<Void> first = append("a", 1500);
    CompletableFuture<Void> second = writer.awaitInFlight("a", 3000).orElseThrow();
    log.fail(LogFailure.Kind.NOT_DONE);
    nowMs = 1600;
    writer.expire();
    assertThat(kindOf(first)).isEqualTo(LogFailure.Kind.UNKNOWN);
    assertThat(second.isDone()).isFalse();
  }

  @Test
  void aFencedWriterSendsNothingMore() {
    CompletableFuture<Void> first = append("a", 5000);
    CompletableFuture<Void> second = append("b", 5000);
    log.fail(LogFailure.Kind.FENCED);
    assertThat(kindOf(first)).isEqualTo(LogFailure.Kind.FENCED);
    assertThat(kindOf(second)).isEqualTo(LogFailure.Kind.FENCED);
    assertThat(kindOf(append("c", 5000))).isEqualTo(LogFailure.Kind.FENCED);
    assertThat(kindOf(writer.appendedSoFar())).isEqualTo(LogFailure.Kind.FENCED);
    assertThat(log.calls).hasSize(1);
  }

  @Test
  void confirmationCarriesTheTimeOfTheFirstSend() {
    append("a", 5000);
    log.fail(LogFailure.Kind.UNKNOWN);
    nowMs = 1700;
    timers.poll().run();
    log.accept();
    assertThat(confirmed).containsExactly(1000L);
  }

  // A call that the log has lost is retried without waiting for its timeout.
  @Test
  void theCallInFlightIsResentOnceTheLogRecovers() {
    CompletableFuture<Void> result = append("a", Long.MAX_VALUE);
    nowMs += 500;
    writer.resend();
    assertThat(log.calls).hasSize(2);
    assertThat(log.calls.get(1).sequence()).isEqualTo(log.calls.get(0).sequence());
    log.accept();
    assertThat(result.isDone()).isTrue();
    assertThat(confirmed).containsExactly(1000L);
  }

  // The call before the retry may still be carried out, so NOT_DONE would be wrong.
  @Test
  void recordsSentTwiceAreNeverReportedAsNotDone() {
    CompletableFuture<Void> result = append("a", nowMs + 200);
    writer.resend();
    log.fail(LogFailure.Kind.NOT_DONE);
    nowMs += 300;
    writer.expire();
    assertThat(kindOf(result)).isEqualTo(LogFailure.Kind.UNKNOWN);
  }

  @Test
  void aDuplicateResponseCountsOnce() {
    append("a", Long.MAX_VALUE);
    writer.resend();
    log.accept();
    CompletableFuture<Void> next = append("b", Long.MAX_VALUE);
    log.responses.get(0).complete(new KeyedLog.Appended(0));
    assertThat(next.isDone()).isFalse();
    assertThat(log.calls).hasSize(3);
  }

  // Guards against an acknowledged record whose place in the log another record has taken.
  @Test
  void aNumberInFlightIsNotReusedAfterTheRetryOfAnAbandonedBatch() {
    append("a", 1100);
    log.fail(LogFailure.Kind.NOT_DONE);
    nowMs = 1200;
    writer.expire();
    append("b", 1300);
    int sent = log.calls.size();
    timers.forEach(Runnable::run);
    log.responses.get(sent - 1).completeExceptionally(new LogFailure(LogFailure.Kind.NOT_DONE, ""));
    nowMs = 1400;
    writer.expire();
    append("c", 5000);
    log.assertNoNumberInFlightIsReused();
  }

  // Guards against a record set that the log refuses for its size and that is resent for good.
  @Test
  void manyRecordsAreSentInSeveralCallsOfLimitedSize() {
    List<KeyedRecord> records = new ArrayList<>();
    for (int i = 0; i < 70_000; i++) {
      records.add(new KeyedRecord("G/00000000000000aa.0.0." + i, new byte[0]));
    }
    CompletableFuture<Void> result = writer.appendInParts(records, Long.MAX_VALUE);
    List<KeyedRecord> sent = new ArrayList<>();
    while (!result.isDone()) {
      List<KeyedRecord> call = log.calls.get(log.calls.size() - 1).records();
      assertThat(call.stream().mapToInt(KeyedRecord::bytes).sum()).isAtMost(64 * 1024);
      sent.addAll(call);
      log.accept();
    }
    assertThat(sent).isEqualTo(records);
  }

  // Guards against a submission that is appended long after its submitter has given it up.
  @Test
  void recordsInFlightAreNotSentAgainAfterTheLimit() {
    LogWriter limited =
        new LogWriter(log, "q", 1, 0, Runnable::run, this::schedule, clock, confirmed::add, 60_000);
    limited.append(List.of(new KeyedRecord("a", new byte[1])), nowMs + 900);
    nowMs += 59_000;
    limited.resend();
    assertThat(log.calls).hasSize(2);
    nowMs += 1000;
    limited.resend();
    log.fail(LogFailure.Kind.UNKNOWN);
    timers.forEach(Runnable::run);
    assertThat(log.calls).hasSize(2);
  }
}
