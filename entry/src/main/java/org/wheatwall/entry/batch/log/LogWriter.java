package org.wheatwall.entry.batch.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Appends the records of one producer. One call is in flight at a time, and records that arrive
 * meanwhile are sent together in the next. A call without a response is retried with the same
 * sequence number until it gets one, so that each record is appended once.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class LogWriter {
  private static final Logger LOG = LoggerFactory.getLogger(LogWriter.class);
  private static final int MAX_LOGGED_KEYS = 5;
  private static final int MAX_RECORDS = 500;
  // A call that times out sends all of it again, so it has to fit the time limit of a call on the
  // slowest link: 75 ms at 7 Mbit/s.
  private static final int MAX_BYTES = 64 * 1024;
  private static final int MAX_QUEUED = 4000;
  private static final int FIRST_BACKOFF_MS = 20;
  private static final int MAX_BACKOFF_MS = 300;

  private final KeyedLog log;
  private final String producer;
  private final long epoch;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final LongConsumer onAppended;
  private final Deque<PendingAppend> queue = new ArrayDeque<>();
  private List<PendingAppend> inFlight = List.of();
  private long sequence;
  private boolean sending;
  private boolean mayHaveArrived;
  // Lease time of the first call with the batch in flight that may have had an effect.
  private long firstSentMs;
  // Lease time at which the batch in flight was taken from the queue.
  private long batchStartMs;
  private boolean closed;
  private int backoffMs = FIRST_BACKOFF_MS;

  /** Records that are appended together. */
  private static final class PendingAppend {
    private final List<KeyedRecord> records;
    private final long deadlineMs;
    private final CompletableFuture<Void> result = new CompletableFuture<>();

    private PendingAppend(List<KeyedRecord> records, long deadlineMs) {
      this.records = records;
      this.deadlineMs = deadlineMs;
    }
  }

  /**
   * Creates a writer.
   *
   * @param firstSequence sequence number of its first call
   * @param onAppended called for each successful call with the lease time at which it was first
   *     sent
   */
  public LogWriter(
      KeyedLog log,
      String producer,
      long epoch,
      long firstSequence,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      LongConsumer onAppended) {
    this.log = log;
    this.producer = producer;
    this.epoch = epoch;
    this.sequence = firstSequence;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.onAppended = onAppended;
  }

  /**
   * Appends records, all in one call and in the order of the calls to this method; an empty list
   * completes after the records before it. Fails with {@link LogFailure}: NOT_DONE if the records
   * were not sent before the deadline and never will be, UNKNOWN if they may have been appended,
   * FENCED if the epoch is over.
   */
  public CompletableFuture<Void> append(List<KeyedRecord> records, long deadlineMs) {
    PendingAppend item = new PendingAppend(records, deadlineMs);
    if (closed) {
      item.result.completeExceptionally(
          new LogFailure(LogFailure.Kind.FENCED, "this writer was closed"));
      return item.result;
    }
    if (queue.size() >= MAX_QUEUED) {
      item.result.completeExceptionally(
          new LogFailure(LogFailure.Kind.NOT_DONE, "too many records wait to be appended"));
      return item.result;
    }
    queue.add(item);
    if (deadlineMs != Long.MAX_VALUE) {
      timer.after(Math.max(0, deadlineMs - clock.nowMs()), this::expire);
    }
    sendNextBatch();
    return item.result;
  }

  /** Returns whether the writer has stopped sending. */
  public boolean isClosed() {
    return closed;
  }

  /** Returns whether nothing is queued or in flight. */
  public boolean isIdle() {
    return queue.isEmpty() && inFlight.isEmpty();
  }

  /**
   * Returns the record with this key that is in flight, if any. It may be appended at any time
   * until the log answers, also after its append has failed with UNKNOWN.
   */
  public Optional<KeyedRecord> inFlight(String key) {
    return inFlight.stream()
        .flatMap(item -> item.records.stream())
        .filter(record -> record.key().equals(key))
        .findFirst();
  }

  /**
   * Returns whether a batch has been in flight for at least {@code ms} milliseconds, including
   * retries.
   */
  public boolean isStalledFor(int ms) {
    return !inFlight.isEmpty() && clock.leaseTimeMs() - batchStartMs >= ms;
  }

  /** Fails all appends whose deadline has passed; those that were sent may still take effect. */
  public void expire() {
    long now = clock.nowMs();
    List<PendingAppend> expired = queue.stream().filter(item -> item.deadlineMs <= now).toList();
    queue.removeAll(expired);
    for (PendingAppend item : expired) {
      item.result.completeExceptionally(
          new LogFailure(LogFailure.Kind.NOT_DONE, "the log did not take it in time"));
    }
    if (!sending && !mayHaveArrived) {
      dropExpiredUnsent();
      sendNextBatch();
      return;
    }
    for (PendingAppend item : inFlight) {
      if (item.deadlineMs <= now) {
        item.result.completeExceptionally(
            new LogFailure(LogFailure.Kind.UNKNOWN, "the log did not answer in time"));
      }
    }
  }

  /**
   * Resends the batch in flight, now that the log responds again: the previous call may be lost,
   * and its timeout is long. The log carries out only one of them, but it is no longer certain that
   * the first had no effect.
   */
  public void resend() {
    if (!closed && !inFlight.isEmpty()) {
      mayHaveArrived = true;
      send();
    }
  }

  /** Stops retrying and fails what is queued or in flight. */
  public void close(String reason) {
    closed = true;
    failAll(new LogFailure(LogFailure.Kind.FENCED, reason));
  }

  private void sendNextBatch() {
    if (closed || !inFlight.isEmpty() || queue.isEmpty()) {
      return;
    }
    List<PendingAppend> batch = new ArrayList<>();
    int records = 0;
    int bytes = 0;
    while (!queue.isEmpty()) {
      PendingAppend item = queue.peek();
      int size = size(item);
      boolean full = records + item.records.size() > MAX_RECORDS || bytes + size > MAX_BYTES;
      if (full && !batch.isEmpty()) {
        break;
      }
      batch.add(queue.poll());
      records += item.records.size();
      bytes += size;
    }
    inFlight = batch;
    if (records == 0) {
      // The store does not count a call without records, so none is sent.
      completeBatch();
      return;
    }
    mayHaveArrived = false;
    backoffMs = FIRST_BACKOFF_MS;
    firstSentMs = clock.leaseTimeMs();
    batchStartMs = firstSentMs;
    send();
  }

  private static int size(PendingAppend item) {
    int bytes = 0;
    for (KeyedRecord record : item.records) {
      bytes += record.key().length() + record.value().length;
    }
    return bytes;
  }

  private void send() {
    List<KeyedRecord> records = new ArrayList<>();
    inFlight.forEach(item -> records.addAll(item.records));
    long number = sequence;
    sending = true;
    LoopCallbacks.whenDone(
        log.append(new KeyedLog.AppendCall(records, OptionalLong.empty(), producer, epoch, number)),
        loop,
        (appended, failure) -> {
          if (closed || number != sequence) {
            return;
          }
          sending = false;
          if (failure == null) {
            batchAppended();
          } else {
            appendFailed(LogFailure.of(failure));
          }
        });
  }

  private void batchAppended() {
    sequence++;
    onAppended.accept(firstSentMs);
    completeBatch();
  }

  private void completeBatch() {
    List<PendingAppend> batch = inFlight;
    inFlight = List.of();
    batch.forEach(item -> item.result.complete(null));
    sendNextBatch();
  }

  private void appendFailed(LogFailure failure) {
    switch (failure.kind()) {
      case FENCED, OUT_OF_SEQUENCE -> {
        closed = true;
        failAll(failure);
      }
      case NOT_DONE -> {
        dropExpiredUnsent();
        scheduleRetry();
      }
      default -> {
        mayHaveArrived = true;
        scheduleRetry();
      }
    }
  }

  // The retry of a call that certainly had no effect may omit expired records, under the same
  // sequence number.
  private void dropExpiredUnsent() {
    if (mayHaveArrived || inFlight.isEmpty()) {
      return;
    }
    List<PendingAppend> remaining = new ArrayList<>();
    List<String> dropped = new ArrayList<>();
    for (PendingAppend item : inFlight) {
      if (item.deadlineMs > clock.nowMs()) {
        remaining.add(item);
      } else {
        item.records.forEach(record -> dropped.add(record.key()));
        item.result.completeExceptionally(
            new LogFailure(LogFailure.Kind.NOT_DONE, "the log did not take it in time"));
      }
    }
    inFlight = remaining;
    logDropped(dropped);
  }

  private void logDropped(List<String> keys) {
    if (!keys.isEmpty()) {
      LOG.atInfo()
          .addKeyValue("producer", producer)
          .addKeyValue("sequence", sequence)
          .addKeyValue("records", keys.size())
          .addKeyValue("keys", keys.subList(0, Math.min(keys.size(), MAX_LOGGED_KEYS)))
          .log("append-abandoned");
    }
  }

  private void scheduleRetry() {
    if (inFlight.isEmpty()) {
      sendNextBatch();
      return;
    }
    long number = sequence;
    long delayMs = backoffMs;
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    timer.after(
        delayMs,
        () -> {
          if (!closed && number == sequence && !inFlight.isEmpty()) {
            firstSentMs = mayHaveArrived ? firstSentMs : clock.leaseTimeMs();
            send();
          }
        });
  }

  private void failAll(LogFailure failure) {
    List<PendingAppend> failed = new ArrayList<>(inFlight);
    failed.addAll(queue);
    inFlight = List.of();
    queue.clear();
    failed.forEach(item -> item.result.completeExceptionally(failure));
  }
}
