package org.wheatwall.entry.batch.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Appends the records of one producer. One call is under way at a time, and what comes meanwhile
 * goes out together with the next. A call without an answer is repeated with the same number until
 * it is answered, so that each record is appended once.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class LogWriter {
  private static final int MAX_RECORDS = 500;
  private static final int MAX_BYTES = 1024 * 1024;
  private static final int MAX_QUEUED = 4000;
  private static final int FIRST_BACKOFF_MS = 20;
  private static final int LONGEST_BACKOFF_MS = 300;

  private final KeyedLog log;
  private final String producer;
  private final long epoch;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final LongConsumer confirmed;
  private final Deque<Item> queue = new ArrayDeque<>();
  private List<Item> inFlight = List.of();
  private long sequence;
  private boolean sending;
  private boolean mayHaveArrived;
  // When what is under way was first sent in a call that may have had an effect, as limit time.
  private long firstSentMs;
  // When what is under way was taken up, as limit time.
  private long takenUpMs;
  private boolean closed;
  private int backoffMs = FIRST_BACKOFF_MS;

  /** Records that are appended together. */
  private static final class Item {
    private final List<KeyedRecord> records;
    private final long deadlineMs;
    private final CompletableFuture<Void> result = new CompletableFuture<>();

    private Item(List<KeyedRecord> records, long deadlineMs) {
      this.records = records;
      this.deadlineMs = deadlineMs;
    }
  }

  /**
   * Creates a writer.
   *
   * @param firstSequence number of its first call
   * @param confirmed told, for each call that was answered, at which limit time it was first sent
   */
  public LogWriter(
      KeyedLog log,
      String producer,
      long epoch,
      long firstSequence,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      LongConsumer confirmed) {
    this.log = log;
    this.producer = producer;
    this.epoch = epoch;
    this.sequence = firstSequence;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.confirmed = confirmed;
  }

  /**
   * Appends records, all in one call and in the order of the calls to this method; without records
   * it waits for those before it. Fails with {@link LogFailure}: NOT_DONE if they were not sent
   * before the deadline and never will be, UNKNOWN if they may have been appended, FENCED if the
   * epoch is over.
   */
  public CompletableFuture<Void> append(List<KeyedRecord> records, long deadlineMs) {
    Item item = new Item(records, deadlineMs);
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
    next();
    return item.result;
  }

  /** Returns whether it sends nothing any more. */
  public boolean closed() {
    return closed;
  }

  /** Returns whether nothing is queued or under way. */
  public boolean idle() {
    return queue.isEmpty() && inFlight.isEmpty();
  }

  /** Returns whether something has been under way for some time, with repeats and all. */
  public boolean waitsFor(int ms) {
    return !inFlight.isEmpty() && clock.leaseTimeMs() - takenUpMs >= ms;
  }

  /** Fails everything whose deadline has passed; what was sent may still be appended. */
  public void expire() {
    long now = clock.nowMs();
    List<Item> late = queue.stream().filter(item -> item.deadlineMs <= now).toList();
    queue.removeAll(late);
    for (Item item : late) {
      item.result.completeExceptionally(
          new LogFailure(LogFailure.Kind.NOT_DONE, "the log did not take it in time"));
    }
    if (!sending && !mayHaveArrived) {
      dropExpiredUnsent();
      next();
      return;
    }
    for (Item item : inFlight) {
      if (item.deadlineMs <= now) {
        item.result.completeExceptionally(
            new LogFailure(LogFailure.Kind.UNKNOWN, "the log did not answer in time"));
      }
    }
  }

  /**
   * Sends what is under way once more, since the log answers again: the call before may be lost,
   * and its time limit is long. The log carries out only one of them, but it is no longer certain
   * that the first had no effect.
   */
  public void resend() {
    if (!closed && !inFlight.isEmpty()) {
      mayHaveArrived = true;
      send();
    }
  }

  /** Stops repeating and fails what is queued or under way. */
  public void close(String reason) {
    closed = true;
    fail(new LogFailure(LogFailure.Kind.FENCED, reason));
  }

  private void next() {
    if (closed || !inFlight.isEmpty() || queue.isEmpty()) {
      return;
    }
    List<Item> batch = new ArrayList<>();
    int records = 0;
    int bytes = 0;
    while (!queue.isEmpty()) {
      Item item = queue.peek();
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
      // The store does not count a call without records, so none is made.
      finish();
      return;
    }
    mayHaveArrived = false;
    backoffMs = FIRST_BACKOFF_MS;
    firstSentMs = clock.leaseTimeMs();
    takenUpMs = firstSentMs;
    send();
  }

  private static int size(Item item) {
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
            done();
          } else {
            failed(LogFailure.of(failure));
          }
        });
  }

  private void done() {
    sequence++;
    confirmed.accept(firstSentMs);
    finish();
  }

  private void finish() {
    List<Item> batch = inFlight;
    inFlight = List.of();
    batch.forEach(item -> item.result.complete(null));
    next();
  }

  private void failed(LogFailure failure) {
    switch (failure.kind()) {
      case FENCED, OUT_OF_SEQUENCE -> {
        closed = true;
        fail(failure);
      }
      case NOT_DONE -> {
        dropExpiredUnsent();
        repeat();
      }
      default -> {
        mayHaveArrived = true;
        repeat();
      }
    }
  }

  // A call that surely had no effect may leave out what came too late, under the same number.
  private void dropExpiredUnsent() {
    if (mayHaveArrived || inFlight.isEmpty()) {
      return;
    }
    List<Item> kept = new ArrayList<>();
    for (Item item : inFlight) {
      if (item.deadlineMs > clock.nowMs()) {
        kept.add(item);
      } else {
        item.result.completeExceptionally(
            new LogFailure(LogFailure.Kind.NOT_DONE, "the log did not take it in time"));
      }
    }
    inFlight = kept;
  }

  private void repeat() {
    if (inFlight.isEmpty()) {
      next();
      return;
    }
    long number = sequence;
    long wait = backoffMs;
    backoffMs = Math.min(LONGEST_BACKOFF_MS, backoffMs * 2);
    timer.after(
        wait,
        () -> {
          if (!closed && number == sequence && !inFlight.isEmpty()) {
            firstSentMs = mayHaveArrived ? firstSentMs : clock.leaseTimeMs();
            send();
          }
        });
  }

  private void fail(LogFailure failure) {
    List<Item> failed = new ArrayList<>(inFlight);
    failed.addAll(queue);
    inFlight = List.of();
    queue.clear();
    failed.forEach(item -> item.result.completeExceptionally(failure));
  }
}
