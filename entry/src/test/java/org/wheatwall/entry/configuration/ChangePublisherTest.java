package org.wheatwall.entry.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.MachineClock;
import org.wheatwall.entry.platform.LogService;
import org.wheatwall.wire.platform.LogPage;

/** A snapshot of which one chunk is missing in the log is of no use to any host. */
final class ChangePublisherTest {
  private static final int LIMIT_SECONDS = 5;
  private static final ResourceKey KEY = new ResourceKey(ResourceKind.WORKSPACES, "workspace");
  private static final List<String> CHUNKS = List.of("chunk-0", "chunk-1", "chunk-2", "chunk-3");

  private final ScheduledExecutorService stateThread = Executors.newSingleThreadScheduledExecutor();

  @AfterEach
  void stop() {
    stateThread.shutdownNow();
  }

  /** A log that refuses the first attempt to append one record. Called on the state thread. */
  private static final class RefusingLog implements LogService {
    private final String refused;
    private final RefusalKind kind;
    private final List<String> attempted = new ArrayList<>();
    private final List<String> appended = new ArrayList<>();
    private final CountDownLatch complete = new CountDownLatch(CHUNKS.size());

    private RefusingLog(String refused, RefusalKind kind) {
      this.refused = refused;
      this.kind = kind;
    }

    @Override
    public CompletableFuture<Long> append(byte[] record) {
      String text = new String(record, StandardCharsets.UTF_8);
      boolean refuse = text.equals(refused) && !attempted.contains(text);
      attempted.add(text);
      if (refuse) {
        return CompletableFuture.failedFuture(new Refusal(kind, "refused", "repeat"));
      }
      appended.add(text);
      complete.countDown();
      return CompletableFuture.completedFuture((long) appended.size());
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit, long waitMs) {
      return new CompletableFuture<>();
    }
  }

  private boolean isAppendedWhole(RefusingLog log) throws InterruptedException {
    ChangePublisher publisher = new ChangePublisher(log, MachineClock.SYSTEM, stateThread);
    List<byte[]> chunks =
        CHUNKS.stream().map(chunk -> chunk.getBytes(StandardCharsets.UTF_8)).toList();
    stateThread.execute(() -> publisher.appendSnapshot(chunks));
    return log.complete.await(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void aChunkWhoseAppendFailedIsAppendedAgain() throws Exception {
    for (RefusalKind kind :
        List.of(RefusalKind.UNAVAILABLE, RefusalKind.LIMIT, RefusalKind.UNKNOWN)) {
      RefusingLog log = new RefusingLog("chunk-1", kind);
      assertWithMessage(kind + ": all chunks are appended").that(isAppendedWhole(log)).isTrue();
      assertThat(log.appended).containsExactlyElementsIn(CHUNKS);
    }
  }

  /** A log that loses the first call and refuses all later ones. */
  private static final class LosingLog implements LogService {
    private final CountDownLatch calls = new CountDownLatch(2);

    @Override
    public CompletableFuture<Long> append(byte[] record) {
      RefusalKind kind = calls.getCount() == 2 ? RefusalKind.UNKNOWN : RefusalKind.UNAVAILABLE;
      calls.countDown();
      return CompletableFuture.failedFuture(new Refusal(kind, "no response", "repeat"));
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit, long waitMs) {
      return new CompletableFuture<>();
    }
  }

  // Guards against a change that comes into force after its author was told that it did not.
  @Test
  void aChangeWhoseCallWasLostIsNotDeniedAfterALaterCallWasRefused() throws Exception {
    LosingLog log = new LosingLog();
    AtomicLong nowMs = new AtomicLong();
    Clock clock = new MachineClock(() -> nowMs.get() * 1_000_000, nowMs::get);
    ChangePublisher publisher = new ChangePublisher(log, clock, stateThread);
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    stateThread.execute(
        () ->
            publisher
                .publish(Draft.of(KEY, 0, Optional.empty(), Draft.Priority.OPERATOR), 0)
                .whenComplete((done, failure) -> verdict.completeExceptionally(failure)));
    assertThat(log.calls.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    nowMs.addAndGet(TimeUnit.MINUTES.toMillis(2));
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> verdict.get(LIMIT_SECONDS, TimeUnit.SECONDS));
    assertThat(((Refusal) failure.getCause()).kind()).isEqualTo(RefusalKind.UNKNOWN);
  }
}
