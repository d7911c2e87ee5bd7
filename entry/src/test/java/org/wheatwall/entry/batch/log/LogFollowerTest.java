package org.wheatwall.entry.batch.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.wheatwall.entry.common.Clock;

/**
 * Records that are appended in quick succession are read in few calls, and an empty response is
 * followed by no pause.
 */
final class LogFollowerTest {
  private static final int PAUSE_MS = 150;
  private static final long SECOND_READ_DELAY_MS = 250;
  private static final String UNPROCESSABLE = "unbearable";

  private final ManualLog log = new ManualLog();
  private final Deque<Long> pauses = new ArrayDeque<>();
  private final Deque<Runnable> pausedTasks = new ArrayDeque<>();
  private final List<String> seen = new ArrayList<>();
  private final List<String> resetTo = new ArrayList<>();

  private final FixedClock clock = new FixedClock();
  private int upToDate;

  private final LogFollower follower =
      new LogFollower(
          "test",
          log,
          Runnable::run,
          (ms, task) -> {
            pauses.add(ms);
            pausedTasks.add(task);
          },
          clock,
          () -> PAUSE_MS,
          new Listener());

  private static final class FixedClock implements Clock {
    private long skippedMs;
    private long nowMs = 1000;

    @Override
    public long skippedMs() {
      return skippedMs;
    }

    @Override
    public long nowMs() {
      return nowMs;
    }

    @Override
    public long wallMs() {
      return 1000;
    }
  }

  private final class Listener implements LogFollower.Listener {
    @Override
    public void onCaughtUp() {
      upToDate++;
    }

    @Override
    public void onReset(List<KeyedLog.NewestRecord> newest) {
      newest.forEach(entry -> resetTo.add(entry.record().key()));
    }

    @Override
    public void onRecord(KeyedRecord record, long offset) {
      if (record.key().equals(UNPROCESSABLE)) {
        throw new IllegalStateException("listener failure");
      }
      seen.add(record.key());
    }
  }

  /** Holds each read until the test answers it. */
  private static final class ManualLog implements KeyedLog {
    private final List<Long> readOffsets = new ArrayList<>();
    private int lastWaitMs;
    private CompletableFuture<LogPage> response = new CompletableFuture<>();
    private final List<CompletableFuture<Long>> ends = new ArrayList<>();
    private final Deque<CompletableFuture<NewestPage>> newestPages = new ArrayDeque<>();
    private final List<String> newestAfter = new ArrayList<>();
    private boolean receiving;

    @Override
    public CompletableFuture<Long> end() {
      ends.add(new CompletableFuture<>());
      return ends.get(ends.size() - 1);
    }

    @Override
    public CompletableFuture<Appended> append(AppendCall call) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<LogPage> read(long offset, int waitMs) {
      readOffsets.add(offset);
      lastWaitMs = waitMs;
      response = new CompletableFuture<>();
      return response;
    }

    @Override
    public boolean isReceiving() {
      return receiving;
    }

    @Override
    public CompletableFuture<NewestPage> newest(Optional<String> afterKey) {
      newestAfter.add(afterKey.orElse(""));
      if (!newestPages.isEmpty()) {
        return newestPages.remove();
      }
      return CompletableFuture.completedFuture(new NewestPage(List.of(), false, 0));
    }

    private void fail() {
      response.completeExceptionally(new LogFailure(LogFailure.Kind.UNKNOWN, "no answer"));
    }

    private void respond(long first, String... keys) {
      List<KeyedRecord> records = new ArrayList<>();
      for (String key : keys) {
        records.add(new KeyedRecord(key, new byte[] {1}));
      }
      response.complete(new LogPage(first, first + keys.length, records));
    }
  }

  @Test
  void recordsAreFollowedByOnePause() {
    follower.start();
    log.respond(0, "a");
    assertThat(log.readOffsets).containsExactly(0L);
    assertThat(pauses).containsExactly((long) PAUSE_MS);
    pausedTasks.remove().run();
    assertThat(log.readOffsets).containsExactly(0L, 1L).inOrder();
    log.respond(1, "b", "c");
    assertThat(seen).containsExactly("a", "b", "c").inOrder();
  }

  @Test
  void anEmptyResponseIsFollowedByAReadAtOnce() {
    follower.start();
    log.respond(0);
    assertThat(log.readOffsets).containsExactly(0L, 0L);
    assertThat(pauses).isEmpty();
  }

  // A log that does not respond holds each call until its timeout. Sending one call after the other
  // would detect the recovery only some time later.
  @Test
  void whileTheLogDoesNotRespondProbesDoNotWaitForEachOther() {
    follower.start();
    log.fail();
    assertThat(follower.isFailing()).isTrue();
    pausedTasks.remove().run();
    pausedTasks.remove().run();
    pausedTasks.remove().run();
    assertThat(log.ends).hasSize(3);
    log.ends.get(2).complete(1L);
    assertThat(log.readOffsets).containsExactly(0L, 0L).inOrder();
    log.respond(0, "a");
    assertThat(follower.isFailing()).isFalse();
    assertThat(seen).containsExactly("a");
  }

  // Reads of the same records that overlap share the link, and none completes in time.
  @Test
  void whileTheLogFailsNoRecordsAreReadBeforeItResponds() {
    follower.start();
    log.fail();
    pausedTasks.remove().run();
    pausedTasks.remove().run();
    assertThat(log.readOffsets).hasSize(1);
    log.ends.get(0).complete(5L);
    log.ends.get(1).complete(5L);
    assertThat(log.readOffsets).hasSize(2);
    while (!pausedTasks.isEmpty()) {
      pausedTasks.remove().run();
    }
    assertThat(log.readOffsets).hasSize(2);
  }

  @Test
  void onlyTheFirstProbeResponseResumesReading() {
    follower.start();
    log.fail();
    pausedTasks.remove().run();
    pausedTasks.remove().run();
    log.ends.get(1).complete(1L);
    log.respond(0, "a");
    log.ends.get(0).complete(1L);
    int reads = log.readOffsets.size();
    Runnable pause = pausedTasks.removeLast();
    while (!pausedTasks.isEmpty()) {
      pausedTasks.remove().run();
    }
    assertThat(log.readOffsets).hasSize(reads);
    pause.run();
    assertThat(log.readOffsets).hasSize(reads + 1);
    assertThat(seen).containsExactly("a");
  }

  // Each caller that asks for a job would otherwise begin another transfer of the same records.
  @Test
  void callersThatCatchUpDuringATransferSendNoReadsOfTheirOwn() {
    follower.start();
    List<CompletableFuture<Void>> callers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      callers.add(follower.catchUp());
    }
    log.ends.forEach(end -> end.complete(2L));
    assertThat(log.readOffsets).containsExactly(0L);
    log.respond(0, "a", "b");
    callers.forEach(caller -> assertThat(caller.isDone()).isTrue());
    assertThat(seen).containsExactly("a", "b").inOrder();
  }

  // A connection may go silent without a reset while new ones work; only its timeout shows it.
  @Test
  void aReadThatMayBeLostIsBackedUpByOneMore() {
    follower.start();
    CompletableFuture<Void> first = follower.catchUp();
    CompletableFuture<Void> second = follower.catchUp();
    log.ends.forEach(end -> end.complete(1L));
    while (!pausedTasks.isEmpty()) {
      if (pauses.remove() == SECOND_READ_DELAY_MS) {
        pausedTasks.remove().run();
      } else {
        pausedTasks.remove();
      }
    }
    assertThat(log.readOffsets).containsExactly(0L, 0L);
    log.respond(0, "a");
    assertThat(first.isDone()).isTrue();
    assertThat(second.isDone()).isTrue();
    assertThat(seen).containsExactly("a");
  }

  @Test
  void noReadIsAddedWhileTheRecordsArrive() {
    follower.start();
    CompletableFuture<Void> caller = follower.catchUp();
    log.ends.get(0).complete(1L);
    log.receiving = true;
    while (!pausedTasks.isEmpty()) {
      pausedTasks.remove().run();
    }
    assertThat(log.readOffsets).hasSize(1);
    assertThat(caller.isCompletedExceptionally()).isTrue();
  }

  // Callers would wait for a read that is not in flight.
  @Test
  void whileTheLogFailsACatchUpFailsAtOnce() {
    follower.start();
    CompletableFuture<Void> begunBefore = follower.catchUp();
    log.fail();
    log.ends.get(0).complete(3L);
    assertThat(begunBefore.isCompletedExceptionally()).isTrue();
    assertThat(follower.catchUp().isCompletedExceptionally()).isTrue();
    assertThat(log.ends).hasSize(1);
  }

  @Test
  void newestRecordsAreReadOnFromThePageThatFailed() {
    log.newestPages.add(page("a", true));
    log.newestPages.add(
        CompletableFuture.failedFuture(new LogFailure(LogFailure.Kind.UNKNOWN, "no answer")));
    log.newestPages.add(page("b", false));
    follower.start();
    assertThat(follower.isFailing()).isTrue();
    pausedTasks.remove().run();
    log.ends.get(0).complete(9L);
    assertThat(log.newestAfter).containsExactly("", "a", "a").inOrder();
    assertThat(resetTo).containsExactly("a", "b").inOrder();
    assertThat(follower.isFailing()).isFalse();
  }

  @Test
  void newestRecordsThatWereReadLongAgoAreReadAgain() {
    log.newestPages.add(page("a", true));
    log.newestPages.add(
        CompletableFuture.failedFuture(new LogFailure(LogFailure.Kind.UNKNOWN, "no answer")));
    log.newestPages.add(page("a", false));
    follower.start();
    clock.nowMs += 60_000;
    pausedTasks.remove().run();
    log.ends.get(0).complete(9L);
    assertThat(log.newestAfter).containsExactly("", "a", "").inOrder();
    assertThat(resetTo).containsExactly("a");
  }

  private static CompletableFuture<KeyedLog.NewestPage> page(String key, boolean more) {
    KeyedRecord record = new KeyedRecord(key, new byte[] {1});
    return CompletableFuture.completedFuture(
        new KeyedLog.NewestPage(List.of(new KeyedLog.NewestRecord(record, 0)), more, 5));
  }

  // Guards against states that go back while records older than those of the last page are
  // replayed.
  @Test
  void pagesThatAreReadAtDifferentTimesAreMergedIntoTheStateAtOneOffset() {
    KeyedRecord old = new KeyedRecord("m", new byte[] {1});
    KeyedRecord latest = new KeyedRecord("m", new byte[] {2});
    KeyedRecord dropped = new KeyedRecord("a", new byte[0]);
    log.newestPages.add(page("a", true));
    log.newestPages.add(
        CompletableFuture.completedFuture(
            new KeyedLog.NewestPage(List.of(new KeyedLog.NewestRecord(latest, 7)), false, 8)));
    follower.start();
    assertThat(follower.isStarted()).isFalse();
    assertThat(log.readOffsets).containsExactly(5L);
    log.response.complete(new KeyedLog.LogPage(5, 8, List.of(old, dropped, latest)));
    assertThat(resetTo).containsExactly("m");
    assertThat(seen).isEmpty();
    assertThat(follower.position()).isEqualTo(8);
  }

  @Test
  void recordsThatAreDroppedWhilePagesAreReadStartTheReadAnew() {
    log.newestPages.add(page("a", true));
    log.newestPages.add(
        CompletableFuture.completedFuture(new KeyedLog.NewestPage(List.of(), false, 8)));
    log.newestPages.add(page("b", false));
    follower.start();
    log.response.completeExceptionally(new LogFailure(LogFailure.Kind.HISTORY_GONE, "dropped"));
    assertThat(resetTo).containsExactly("b");
    assertThat(follower.position()).isEqualTo(5);
  }

  @Test
  void aCatchUpThatTakesTooLongFailsAsNotDone() {
    follower.start();
    CompletableFuture<Void> caller = follower.catchUp();
    log.ends.get(0).complete(1L);
    while (!pausedTasks.isEmpty()) {
      pausedTasks.remove().run();
    }
    Throwable failure = assertThrows(CompletionException.class, caller::join);
    assertThat(LogFailure.of(failure).kind()).isEqualTo(LogFailure.Kind.NOT_DONE);
  }

  // One record that cannot be processed would otherwise end the reading of the log for good.
  @Test
  void readingContinuesAfterARecordThatCannotBeProcessed() {
    follower.start();
    log.respond(0, "a", UNPROCESSABLE, "b");
    pausedTasks.remove().run();
    log.respond(3, "c");
    assertThat(seen).containsExactly("a", "b", "c").inOrder();
  }

  // A response that arrived while the machine was suspended waits in a buffer and is old when it is
  // read.
  @Test
  void aResponseFromBeforeASuspensionDoesNotConfirmTheEndOfTheLog() {
    follower.start();
    int before = upToDate;
    clock.skippedMs += 600_000;
    log.response.complete(new KeyedLog.LogPage(0, 0, List.of()));
    assertThat(upToDate).isEqualTo(before);
    assertThat(log.lastWaitMs).isEqualTo(0);
    log.response.complete(new KeyedLog.LogPage(0, 0, List.of()));
    assertThat(upToDate).isEqualTo(before + 1);
    assertThat(log.lastWaitMs).isGreaterThan(0);
  }

  // The read that waits at the log gets its response up to a second later; callers are refused
  // until then.
  @Test
  void afterASuspensionTheEndOfTheLogIsReadAtOnce() {
    follower.start();
    log.respond(0);
    int before = upToDate;
    follower.confirm();
    assertThat(log.ends).isEmpty();
    clock.skippedMs += 600_000;
    follower.confirm();
    follower.confirm();
    assertThat(log.ends).hasSize(1);
    log.ends.get(0).complete(0L);
    assertThat(upToDate).isEqualTo(before + 1);
    follower.confirm();
    assertThat(log.ends).hasSize(1);
    assertThat(log.readOffsets).hasSize(2);
  }
}
