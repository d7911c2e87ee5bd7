package org.wheatwall.entry.batch.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.entry.common.Clock;

/**
 * What is appended in quick succession is read in few calls, and an empty answer costs no pause.
 */
final class LogFollowerTest {
  private static final int PAUSE_MS = 150;
  private static final String UNBEARABLE = "unbearable";

  private final HeldLog log = new HeldLog();
  private final Deque<Long> pauses = new ArrayDeque<>();
  private final Deque<Runnable> paused = new ArrayDeque<>();
  private final List<String> seen = new ArrayList<>();

  private final StillClock clock = new StillClock();
  private int upToDate;

  private final LogFollower follower =
      new LogFollower(
          "test",
          log,
          Runnable::run,
          (ms, task) -> {
            pauses.add(ms);
            paused.add(task);
          },
          clock,
          () -> PAUSE_MS,
          new Listener());

  private static final class StillClock implements Clock {
    private long skippedMs;

    @Override
    public long skippedMs() {
      return skippedMs;
    }

    @Override
    public long nowMs() {
      return 1000;
    }

    @Override
    public long wallMs() {
      return 1000;
    }
  }

  private final class Listener implements LogFollower.Listener {
    @Override
    public void upToDate() {
      upToDate++;
    }

    @Override
    public void restart(List<KeyedLog.NewestRecord> newest) {}

    @Override
    public void next(KeyedRecord record, long offset) {
      if (record.key().equals(UNBEARABLE)) {
        throw new IllegalStateException("a fault of the listener");
      }
      seen.add(record.key());
    }
  }

  /** Keeps each reading until the test answers it. */
  private static final class HeldLog implements KeyedLog {
    private final List<Long> from = new ArrayList<>();
    private int lastWaitMs;
    private CompletableFuture<LogPage> answer = new CompletableFuture<>();

    @Override
    public CompletableFuture<Appended> append(AppendCall call) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<LogPage> read(long offset, int waitMs) {
      from.add(offset);
      lastWaitMs = waitMs;
      answer = new CompletableFuture<>();
      return answer;
    }

    @Override
    public CompletableFuture<NewestPage> newest(Optional<String> afterKey) {
      return CompletableFuture.completedFuture(new NewestPage(List.of(), false, 0));
    }

    private void fail() {
      answer.completeExceptionally(new LogFailure(LogFailure.Kind.UNKNOWN, "no answer"));
    }

    private void answer(long first, String... keys) {
      List<KeyedRecord> records = new ArrayList<>();
      for (String key : keys) {
        records.add(new KeyedRecord(key, new byte[] {1}));
      }
      answer.complete(new LogPage(first, first + keys.length, records));
    }
  }

  @Test
  void recordsAreFollowedByOnePause() {
    follower.start();
    log.answer(0, "a");
    assertThat(log.from).containsExactly(0L);
    assertThat(pauses).containsExactly((long) PAUSE_MS);
    paused.remove().run();
    assertThat(log.from).containsExactly(0L, 1L).inOrder();
    log.answer(1, "b", "c");
    assertThat(seen).containsExactly("a", "b", "c").inOrder();
  }

  @Test
  void anEmptyAnswerIsFollowedAtOnce() {
    follower.start();
    log.answer(0);
    assertThat(log.from).containsExactly(0L, 0L);
    assertThat(pauses).isEmpty();
  }

  // A silent log holds each call until its time limit; one call after the other would notice only
  // some time later that it answers again.
  @Test
  void whileTheLogIsSilentCallsFollowEachOtherWithoutWaitingForAnswers() {
    follower.start();
    log.fail();
    assertThat(follower.failing()).isTrue();
    paused.remove().run();
    paused.remove().run();
    paused.remove().run();
    assertThat(log.from).containsExactly(0L, 0L, 0L, 0L);
    log.answer(0, "a");
    assertThat(follower.failing()).isFalse();
    assertThat(seen).containsExactly("a");
  }

  @Test
  void whatFollowsTheFirstAnswerIsReadOnce() {
    follower.start();
    log.fail();
    paused.remove().run();
    CompletableFuture<KeyedLog.LogPage> firstProbe = log.answer;
    paused.remove().run();
    log.answer(0, "a");
    firstProbe.complete(new KeyedLog.LogPage(0, 0, List.of()));
    int readings = log.from.size();
    while (!paused.isEmpty()) {
      paused.remove().run();
    }
    assertThat(log.from).hasSize(readings);
    assertThat(seen).containsExactly("a");
  }

  // One record that cannot be taken in would otherwise end the reading of the log for good.
  @Test
  void readingGoesOnBehindARecordThatCannotBeTakenIn() {
    follower.start();
    log.answer(0, "a", UNBEARABLE, "b");
    paused.remove().run();
    log.answer(3, "c");
    assertThat(seen).containsExactly("a", "b", "c").inOrder();
  }

  // An answer that came while the machine was suspended waits in a buffer and is old when it is
  // read.
  @Test
  void anAnswerFromBeforeASuspensionDoesNotShowTheLogsEnd() {
    follower.start();
    int before = upToDate;
    clock.skippedMs += 600_000;
    log.answer.complete(new KeyedLog.LogPage(0, 0, List.of()));
    assertThat(upToDate).isEqualTo(before);
    assertThat(log.lastWaitMs).isEqualTo(0);
    log.answer.complete(new KeyedLog.LogPage(0, 0, List.of()));
    assertThat(upToDate).isEqualTo(before + 1);
    assertThat(log.lastWaitMs).isGreaterThan(0);
  }

  // The reading that waits at the log is answered up to a second later; callers are refused until
  // then.
  @Test
  void afterASuspensionTheLogsEndIsAskedForAtOnce() {
    follower.start();
    log.answer(0);
    int before = upToDate;
    follower.confirm();
    assertThat(log.from).hasSize(2);
    clock.skippedMs += 600_000;
    follower.confirm();
    follower.confirm();
    assertThat(log.from).hasSize(3);
    assertThat(log.lastWaitMs).isEqualTo(0);
    log.answer(0);
    assertThat(upToDate).isEqualTo(before + 1);
    follower.confirm();
    assertThat(log.from).hasSize(3);
  }
}
