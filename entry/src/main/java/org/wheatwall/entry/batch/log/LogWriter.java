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
  private final long maxRetryMs;
  private final Deque<PendingAppend> queue = new ArrayDeque<>();
  private Optional<AppendBatch> inFlight = Optional.empty();
  private CompletableFuture<Void> appendedSoFar = CompletableFuture.completedFuture(null);
  private long sequence;
  private boolean closed;
  private int backoffMs = FIRST_BACKOFF_MS;

  /** Creates a writer that retries until the log responds. */
  public LogWriter(
      KeyedLog log,
      String producer,
      long epoch,
      long firstSequence,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      LongConsumer onAppended) {
    this(log, producer, epoch, firstSequence, loop, timer, clock, onAppended, Long.MAX_VALUE);
  }

  /**
   * Creates a writer.
   *
   * @param firstSequence sequence number of its first call
   * @param onAppended called for each successful call with the lease time at which it was first
   *     sent
   * @param maxRetryMs time after which records in flight are not sent again, milliseconds
   */
  public LogWriter(
      KeyedLog log,
      String producer,
      long epoch,
      long firstSequence,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      LongConsumer onAppended,
      long maxRetryMs) {
    this.log = log;
    this.producer = producer;
    this.epoch = epoch;
    this.sequence = firstSequence;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.onAppended = onAppended;
    this.maxRetryMs = maxRetryMs;
  }

  /**
   * Appends records, all in one call and in the order of the calls to this method. Fails with
   * {@link LogFailure}: NOT_DONE if the records were not appended before the deadline and never
   * will be, UNKNOWN if they may have been appended, FENCED if the epoch is over.
   *
   * @param records at least one: the store does not count a call without records
   */
  public CompletableFuture<Void> append(List<KeyedRecord> records, long deadlineMs) {
    if (records.isEmpty()) {
      throw new IllegalArgumentException("no records to append");
    }
    PendingAppend item = new PendingAppend(records);
    CompletableFuture<Void> result = item.await(deadlineMs);
    if (closed) {
      item.fail(fenced());
    } else if (queue.size() >= MAX_QUEUED) {
      item.fail(new LogFailure(LogFailure.Kind.NOT_DONE, "too many records wait to be appended"));
    } else {
      appendedSoFar = isIdle() ? result : CompletableFuture.allOf(appendedSoFar, result);
      queue.add(item);
      expireAt(deadlineMs);
      sendNextBatch();
    }
    return result;
  }

  /**
   * Appends records as {@link #append} does, but in several calls if they exceed the size of one:
   * if this process ends meanwhile, the log may have only the first of them. Completes once all are
   * appended.
   */
  public CompletableFuture<Void> appendInParts(List<KeyedRecord> records, long deadlineMs) {
    List<CompletableFuture<Void>> parts = new ArrayList<>();
    int from = 0;
    int bytes = 0;
    for (int i = 0; i < records.size(); i++) {
      int size = records.get(i).bytes();
      if (i > from && (i - from >= MAX_RECORDS || bytes + size > MAX_BYTES)) {
        parts.add(append(records.subList(from, i), deadlineMs));
        from = i;
        bytes = 0;
      }
      bytes += size;
    }
    parts.add(append(records.subList(from, records.size()), deadlineMs));
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new));
  }

  /**
   * Returns the outcome of the record with this key that is in flight, empty if there is none. The
   * record is not abandoned before {@code deadlineMs}. Fails as {@link #append} does.
   */
  public Optional<CompletableFuture<Void>> awaitInFlight(String key, long deadlineMs) {
    Optional<PendingAppend> found =
        inFlight.stream()
            .flatMap(batch -> batch.items().stream())
            .filter(item -> item.contains(key))
            .findFirst();
    found.ifPresent(item -> expireAt(deadlineMs));
    return found.map(item -> item.await(deadlineMs));
  }

  private void expireAt(long deadlineMs) {
    if (deadlineMs != Long.MAX_VALUE) {
      timer.after(Math.max(0, deadlineMs - clock.nowMs()), this::expire);
    }
  }

  /**
   * Completes once all records given to this writer are appended; fails if one of those that are
   * pending now fails.
   */
  public CompletableFuture<Void> appendedSoFar() {
    if (closed) {
      return CompletableFuture.failedFuture(fenced());
    }
    return isIdle() ? CompletableFuture.completedFuture(null) : appendedSoFar;
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
        .flatMap(batch -> batch.records().stream())
        .filter(record -> record.key().equals(key))
        .findFirst();
  }

  /**
   * Returns whether a batch has been in flight for at least {@code ms} milliseconds, including
   * retries.
   */
  public boolean isStalledFor(long ms) {
    return inFlight.filter(batch -> clock.leaseTimeMs() - batch.startedMs() >= ms).isPresent();
  }

  /** Fails all appends whose deadline has passed; those that were sent may still take effect. */
  public void expire() {
    long now = clock.nowMs();
    List<PendingAppend> expired = queue.stream().filter(item -> item.isExpired(now)).toList();
    queue.removeAll(expired);
    expired.forEach(item -> item.fail(notTaken()));
    inFlight.ifPresent(this::expire);
  }

  private void expire(AppendBatch batch) {
    dropExpired(batch);
    LogFailure unknown = new LogFailure(LogFailure.Kind.UNKNOWN, "the log did not answer in time");
    batch.items().forEach(item -> item.failExpired(clock.nowMs(), unknown));
  }

  private static LogFailure fenced() {
    return new LogFailure(LogFailure.Kind.FENCED, "this writer was closed");
  }

  private static LogFailure notTaken() {
    return new LogFailure(LogFailure.Kind.NOT_DONE, "the log did not take it in time");
  }

  /**
   * Sends the batch in flight once more, now that the log responds again: the previous call may be
   * lost, and its timeout is long. The log carries out only one of them.
   */
  public void resend() {
    if (!closed) {
      inFlight.ifPresent(this::send);
    }
  }

  /** Stops retrying and fails what is queued or in flight. */
  public void close(String reason) {
    closed = true;
    failAll(new LogFailure(LogFailure.Kind.FENCED, reason));
  }

  private void sendNextBatch() {
    if (closed || inFlight.isPresent() || queue.isEmpty()) {
      return;
    }
    List<PendingAppend> batch = new ArrayList<>();
    int records = 0;
    int bytes = 0;
    while (!queue.isEmpty()) {
      PendingAppend item = queue.peek();
      int size = item.bytes();
      boolean full = records + item.records().size() > MAX_RECORDS || bytes + size > MAX_BYTES;
      if (full && !batch.isEmpty()) {
        break;
      }
      batch.add(queue.poll());
      records += item.records().size();
      bytes += size;
    }
    AppendBatch next = new AppendBatch(sequence, batch, clock.leaseTimeMs());
    inFlight = Optional.of(next);
    backoffMs = FIRST_BACKOFF_MS;
    send(next);
  }

  private void send(AppendBatch batch) {
    if (clock.leaseTimeMs() - batch.startedMs() >= maxRetryMs) {
      return;
    }
    int call = batch.recordSent(clock.leaseTimeMs());
    LoopCallbacks.whenDone(
        log.append(
            new KeyedLog.AppendCall(
                batch.records(), OptionalLong.empty(), producer, epoch, batch.sequence())),
        loop,
        (appended, failure) -> {
          if (!isInFlight(batch)) {
            return;
          }
          if (failure == null) {
            batchAppended(batch);
          } else {
            callFailed(batch, call, LogFailure.of(failure));
          }
        });
  }

  private boolean isInFlight(AppendBatch batch) {
    return inFlight.filter(current -> current == batch).isPresent();
  }

  private void batchAppended(AppendBatch batch) {
    sequence++;
    onAppended.accept(batch.firstSentMs());
    complete(batch);
  }

  private void complete(AppendBatch batch) {
    inFlight = Optional.empty();
    batch.items().forEach(PendingAppend::complete);
    sendNextBatch();
  }

  private void callFailed(AppendBatch batch, int call, LogFailure failure) {
    switch (failure.kind()) {
      case FENCED, OUT_OF_SEQUENCE -> {
        closed = true;
        failAll(failure);
      }
      default -> {
        batch.recordFailed(failure.kind() != LogFailure.Kind.NOT_DONE);
        dropExpired(batch);
        if (isInFlight(batch) && batch.isLatest(call)) {
          scheduleRetry(batch, call);
        }
      }
    }
  }

  private void dropExpired(AppendBatch batch) {
    List<PendingAppend> expired = batch.removeExpired(clock.nowMs());
    if (expired.isEmpty()) {
      return;
    }
    logAbandoned(batch, expired);
    if (batch.items().isEmpty()) {
      inFlight = Optional.empty();
    }
    expired.forEach(item -> item.fail(notTaken()));
    sendNextBatch();
  }

  private void logAbandoned(AppendBatch batch, List<PendingAppend> abandoned) {
    List<String> keys =
        abandoned.stream().flatMap(item -> item.records().stream()).map(KeyedRecord::key).toList();
    LOG.atInfo()
        .addKeyValue("producer", producer)
        .addKeyValue("sequence", batch.sequence())
        .addKeyValue("records", keys.size())
        .addKeyValue("keys", keys.subList(0, Math.min(keys.size(), MAX_LOGGED_KEYS)))
        .log("append-abandoned");
  }

  // Another call of the batch may be sent meanwhile; it has a retry of its own.
  private void scheduleRetry(AppendBatch batch, int call) {
    long delayMs = backoffMs;
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    timer.after(
        delayMs,
        () -> {
          if (isInFlight(batch) && batch.isLatest(call)) {
            send(batch);
          }
        });
  }

  private void failAll(LogFailure failure) {
    List<PendingAppend> failed = new ArrayList<>();
    inFlight.ifPresent(batch -> failed.addAll(batch.items()));
    failed.addAll(queue);
    inFlight = Optional.empty();
    queue.clear();
    failed.forEach(item -> item.fail(failure));
  }
}
