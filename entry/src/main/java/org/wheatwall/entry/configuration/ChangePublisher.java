package org.wheatwall.entry.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.platform.LogService;
import org.wheatwall.wire.http.Problems;
import org.wheatwall.wire.json.LogRecord;
import org.wheatwall.wire.json.LogRecordCodec;

/**
 * Appends changes to the log in batches within a budget, and retries each until its verdict has
 * been read back. Retries are idempotent: a change keeps its identifier, base version and position,
 * and replay applies it at most once. Runs on the state thread.
 */
final class ChangePublisher {
  private static final int MAX_CHANGES_PER_RECORD = 100;
  private static final long FLUSH_DELAY_MS = 5;
  private static final long RETRY_DELAY_MS = 400;
  private static final long CHANGE_TIMEOUT_MS = 60_000;
  private static final int MAX_PENDING_CHANGES = 20_000;

  private final LogService log;
  private final Clock clock;
  private final ScheduledExecutorService stateThread;
  private final AppendBudget budget = new AppendBudget();
  private final Map<String, PendingChange> pending = new HashMap<>();
  private final PriorityQueue<PendingChange> queue =
      new PriorityQueue<>(
          Comparator.comparing((PendingChange pendingChange) -> pendingChange.priority)
              .thenComparingLong(pendingChange -> pendingChange.sequence));
  private final List<byte[]> snapshotChunks = new ArrayList<>();
  private long sequence;
  private int appendsInFlight;
  private long appendCount;
  private boolean flushScheduled;

  private static final class PendingChange {
    private final Change change;
    private final Draft.Priority priority;
    private final long sequence;
    private final long expiresAtMs;
    private final CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    private boolean callInFlight;
    private boolean callLost;

    private PendingChange(Change change, Draft.Priority priority, long sequence, long expiresAtMs) {
      this.change = change;
      this.priority = priority;
      this.sequence = sequence;
      this.expiresAtMs = expiresAtMs;
    }

    // A call without a response may be carried out after a later one was refused.
    private boolean mayBeAppended() {
      return callInFlight || callLost;
    }
  }

  ChangePublisher(LogService log, Clock clock, ScheduledExecutorService stateThread) {
    this.log = log;
    this.clock = clock;
    this.stateThread = stateThread;
  }

  /** Queues a change; the future completes with the verdict of replay. */
  CompletableFuture<Verdict> publish(Draft draft, long asOf) {
    if (pending.size() >= MAX_PENDING_CHANGES) {
      return CompletableFuture.failedFuture(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "too many changes wait for the log",
              "repeat when the log takes appends again"));
    }
    Change change =
        new Change(
            UUID.randomUUID().toString(),
            draft.key(),
            draft.baseVersion(),
            asOf,
            draft.value(),
            draft.capacity());
    PendingChange pendingChange =
        new PendingChange(change, draft.priority(), sequence++, clock.nowMs() + CHANGE_TIMEOUT_MS);
    pending.put(change.changeId(), pendingChange);
    queue.add(pendingChange);
    scheduleFlush(FLUSH_DELAY_MS);
    return pendingChange.verdict;
  }

  /** Queues the chunks of a snapshot unless one is queued; changes are appended before chunks. */
  void appendSnapshot(List<byte[]> chunks) {
    if (snapshotChunks.isEmpty()) {
      snapshotChunks.addAll(chunks);
      scheduleFlush(FLUSH_DELAY_MS);
    }
  }

  /** Completes the future of a change whose verdict replay has determined. */
  void onVerdict(Verdict verdict) {
    PendingChange pendingChange = pending.remove(verdict.changeId());
    if (pendingChange != null) {
      queue.remove(pendingChange);
      pendingChange.verdict.complete(verdict);
    }
  }

  /** Returns the number of changes without a verdict. */
  int pendingCount() {
    return pending.size();
  }

  /** Returns the number of appends sent. */
  long appendCount() {
    return appendCount;
  }

  private void scheduleFlush(long delayMs) {
    if (!flushScheduled) {
      flushScheduled = true;
      stateThread.schedule(this::flush, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void flush() {
    flushScheduled = false;
    failExpiredChanges();
    if ((queue.isEmpty() && snapshotChunks.isEmpty()) || appendsInFlight > 1) {
      return;
    }
    if (!budget.tryAcquire(clock.nowMs())) {
      scheduleFlush(50);
      return;
    }
    if (queue.isEmpty()) {
      byte[] chunk = snapshotChunks.remove(0);
      append(chunk, failure -> requeueChunk(chunk, failure));
    } else {
      List<PendingChange> batch = nextBatch();
      List<Change> changes = batch.stream().map(pendingChange -> pendingChange.change).toList();
      append(
          LogRecordCodec.write(LogRecord.ofChanges(changes)),
          failure -> requeue(batch, isNotAppended(failure)));
    }
    scheduleFlush(FLUSH_DELAY_MS);
  }

  private List<PendingChange> nextBatch() {
    List<PendingChange> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < MAX_CHANGES_PER_RECORD) {
      PendingChange pendingChange = queue.remove();
      pendingChange.callInFlight = true;
      batch.add(pendingChange);
    }
    return batch;
  }

  private void append(byte[] record, Consumer<Throwable> onFailure) {
    appendsInFlight++;
    appendCount++;
    log.append(record)
        .whenCompleteAsync(
            (offset, failure) -> {
              appendsInFlight--;
              if (failure != null) {
                onFailure.accept(Problems.unwrap(failure));
              }
              scheduleFlush(FLUSH_DELAY_MS);
            },
            stateThread);
  }

  private static boolean isNotAppended(Throwable failure) {
    return failure instanceof Refusal refusal
        && (refusal.kind() == RefusalKind.LIMIT || refusal.kind() == RefusalKind.UNAVAILABLE);
  }

  private void requeue(List<PendingChange> batch, boolean notAppended) {
    for (PendingChange pendingChange : batch) {
      pendingChange.callInFlight = false;
      pendingChange.callLost |= !notAppended;
    }
    retryLater(
        () -> {
          for (PendingChange pendingChange : batch) {
            if (pending.containsKey(pendingChange.change.changeId())) {
              queue.add(pendingChange);
            }
          }
        });
  }

  // A chunk may be appended twice: readers keep the last one of each index. One that the log
  // refuses as such would be refused again.
  private void requeueChunk(byte[] chunk, Throwable failure) {
    boolean repeatable =
        isNotAppended(failure)
            || (failure instanceof Refusal refusal && refusal.kind() == RefusalKind.UNKNOWN);
    if (repeatable) {
      retryLater(() -> snapshotChunks.add(0, chunk));
    }
  }

  private void retryLater(Runnable requeue) {
    stateThread.schedule(
        () -> {
          requeue.run();
          scheduleFlush(FLUSH_DELAY_MS);
        },
        RETRY_DELAY_MS,
        TimeUnit.MILLISECONDS);
  }

  private void failExpiredChanges() {
    long nowMs = clock.nowMs();
    queue.removeIf(
        pendingChange -> {
          boolean expired = pendingChange.expiresAtMs <= nowMs;
          if (expired) {
            pending.remove(pendingChange.change.changeId());
            pendingChange.verdict.completeExceptionally(
                timeoutRefusal(pendingChange.mayBeAppended()));
          }
          return expired;
        });
  }

  private static Refusal timeoutRefusal(boolean mayBeAppended) {
    return mayBeAppended
        ? new Refusal(
            RefusalKind.UNKNOWN,
            "the log did not answer; the change may come into force later",
            "read the object before you repeat the change")
        : new Refusal(
            RefusalKind.UNAVAILABLE,
            "the log takes no appends; the change did not take effect",
            "repeat when the log is back");
  }
}
