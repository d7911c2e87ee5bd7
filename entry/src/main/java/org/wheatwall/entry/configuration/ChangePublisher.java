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
 * Appends changes to the log in batches within a budget, and repeats them until their verdict has
 * been read back. A repeat is harmless: a change has the same identifier, base and position each
 * time, and replay takes it once at most. Runs on the state thread.
 */
final class ChangePublisher {
  private static final int MAX_BATCH = 100;
  private static final long FLUSH_MS = 5;
  private static final long REPEAT_MS = 400;
  private static final long GIVE_UP_MS = 60_000;
  private static final int MAX_QUEUE = 20_000;

  private final LogService log;
  private final Clock clock;
  private final ScheduledExecutorService stateThread;
  private final AppendBudget budget = new AppendBudget();
  private final Map<String, Pending> pending = new HashMap<>();
  private final PriorityQueue<Pending> queue =
      new PriorityQueue<>(
          Comparator.comparing((Pending entry) -> entry.priority)
              .thenComparingLong(entry -> entry.sequence));
  private final List<byte[]> snapshotChunks = new ArrayList<>();
  private long sequence;
  private int appending;
  private long appends;
  private boolean flushScheduled;

  private static final class Pending {
    private final Change change;
    private final Draft.Priority priority;
    private final long sequence;
    private final long giveUpAtMs;
    private final CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    private boolean mayBeAppended;

    private Pending(Change change, Draft.Priority priority, long sequence, long giveUpAtMs) {
      this.change = change;
      this.priority = priority;
      this.sequence = sequence;
      this.giveUpAtMs = giveUpAtMs;
    }
  }

  ChangePublisher(LogService log, Clock clock, ScheduledExecutorService stateThread) {
    this.log = log;
    this.clock = clock;
    this.stateThread = stateThread;
  }

  /** Queues a change; the future completes with the verdict that replay gave. */
  CompletableFuture<Verdict> publish(Draft draft, long asOf) {
    if (pending.size() >= MAX_QUEUE) {
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
    Pending entry = new Pending(change, draft.priority(), sequence++, clock.nowMs() + GIVE_UP_MS);
    pending.put(change.changeId(), entry);
    queue.add(entry);
    scheduleFlush(FLUSH_MS);
    return entry.verdict;
  }

  /** Queues the chunks of a snapshot; they go after all changes. */
  void appendSnapshot(List<byte[]> chunks) {
    if (snapshotChunks.isEmpty()) {
      snapshotChunks.addAll(chunks);
      scheduleFlush(FLUSH_MS);
    }
  }

  /** Takes in a verdict that replay gave. */
  void onVerdict(Verdict verdict) {
    Pending entry = pending.remove(verdict.changeId());
    if (entry != null) {
      queue.remove(entry);
      entry.verdict.complete(verdict);
    }
  }

  /** Returns the number of changes whose verdict is not known. */
  int pendingCount() {
    return pending.size();
  }

  /** Returns the number of appends made. */
  long appends() {
    return appends;
  }

  private void scheduleFlush(long delayMs) {
    if (!flushScheduled) {
      flushScheduled = true;
      stateThread.schedule(this::flush, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void flush() {
    flushScheduled = false;
    giveUpLate();
    if ((queue.isEmpty() && snapshotChunks.isEmpty()) || appending > 1) {
      return;
    }
    if (!budget.tryTake(clock.nowMs())) {
      scheduleFlush(50);
      return;
    }
    if (queue.isEmpty()) {
      byte[] chunk = snapshotChunks.remove(0);
      append(chunk, List.of());
    } else {
      List<Pending> batch = takeBatch();
      List<Change> changes = batch.stream().map(entry -> entry.change).toList();
      append(LogRecordCodec.write(LogRecord.ofChanges(changes)), batch);
    }
    scheduleFlush(FLUSH_MS);
  }

  private List<Pending> takeBatch() {
    List<Pending> batch = new ArrayList<>();
    while (!queue.isEmpty() && batch.size() < MAX_BATCH) {
      Pending entry = queue.remove();
      entry.mayBeAppended = true;
      batch.add(entry);
    }
    return batch;
  }

  private void append(byte[] record, List<Pending> batch) {
    appending++;
    appends++;
    log.append(record)
        .whenCompleteAsync(
            (offset, failure) -> {
              appending--;
              if (failure != null) {
                boolean certainlyNot = isNotAppended(Problems.unwrap(failure));
                stateThread.schedule(() -> repeat(batch), REPEAT_MS, TimeUnit.MILLISECONDS);
                if (certainlyNot) {
                  batch.forEach(entry -> entry.mayBeAppended = false);
                }
              }
              scheduleFlush(FLUSH_MS);
            },
            stateThread);
  }

  private static boolean isNotAppended(Throwable failure) {
    return failure instanceof Refusal refusal
        && (refusal.kind() == RefusalKind.LIMIT || refusal.kind() == RefusalKind.UNAVAILABLE);
  }

  private void repeat(List<Pending> batch) {
    for (Pending entry : batch) {
      if (pending.containsKey(entry.change.changeId())) {
        queue.add(entry);
      }
    }
    scheduleFlush(FLUSH_MS);
  }

  private void giveUpLate() {
    long nowMs = clock.nowMs();
    queue.removeIf(
        entry -> {
          boolean late = entry.giveUpAtMs <= nowMs;
          if (late) {
            pending.remove(entry.change.changeId());
            entry.verdict.completeExceptionally(failure(entry.mayBeAppended));
          }
          return late;
        });
  }

  private static Refusal failure(boolean mayBeAppended) {
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
