package org.wheatwall.entry.batch.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Follows a log of keyed records. It starts with the newest record of each key, continues with what
 * is appended, and starts again when records were dropped before it read them.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class LogFollower {
  private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
  private static final int READ_WAIT_MS = 1000;
  // A read that waits at the log gets new records at once; later than this, its connection may have
  // gone silent.
  private static final int SECOND_READ_DELAY_MS = 250;
  // Callers have 3 s, and two catch-ups may follow each other.
  private static final int CATCH_UP_LIMIT_MS = 1000;
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final String name;
  private final KeyedLog log;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final IntSupplier pauseMs;
  private final LogProbe probe;
  private final PendingCatchUps catchUps;
  private long position = -1;
  private long confirmedAtMs;
  private long confirmedSkippedMs;
  private long respondedAtMs;
  private boolean confirming;
  private boolean secondReadInFlight;
  private boolean failing;
  private boolean stopped;
  private boolean pausing;
  private int pauses;

  /** When a request was sent, and how much suspended time the clock had skipped by then. */
  private record RequestTime(long atMs, long skippedMs) {}

  /** Receives what was read from the log. */
  public interface Listener {
    /** Starts again with the newest records of all keys, in the order of their offsets. */
    void onReset(List<KeyedLog.NewestRecord> newest);

    /** Processes the next record. */
    void onRecord(KeyedRecord record, long offset);

    /** Called when everything up to the log's end, as of a moment ago, was processed. */
    default void onCaughtUp() {}

    /** Called when the log can be read again after an outage. */
    default void onRecovered() {}
  }

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param name name of the log, for operators
   * @param pauseMs time between processing records and requesting more, milliseconds: what is
   *     appended meanwhile arrives in one response instead of many
   */
  public LogFollower(
      String name,
      KeyedLog log,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      IntSupplier pauseMs,
      Listener listener) {
    this.name = name;
    this.log = log;
    this.loop = loop;
    this.timer = timer;
    this.clock = clock;
    this.pauseMs = pauseMs;
    this.listener = listener;
    this.probe = new LogProbe(name, log, loop, timer, clock);
    this.catchUps = new PendingCatchUps(name, timer);
    this.confirmedAtMs = NEVER_MS;
    this.confirmedSkippedMs = clock.skippedMs();
    this.respondedAtMs = clock.nowMs();
  }

  /** Starts to follow the log. */
  public void start() {
    RequestTime requested = now();
    new SnapshotRead(
            log, loop, clock, snapshot -> reset(snapshot, requested), this::failed, this::start)
        .start();
  }

  private void reset(SnapshotRead.Snapshot snapshot, RequestTime requested) {
    if (stopped) {
      return;
    }
    position = snapshot.end();
    runListener(position, () -> listener.onReset(snapshot.records()));
    succeeded(requested, true);
    catchUps.advanceTo(position);
    follow();
  }

  private RequestTime now() {
    return new RequestTime(clock.nowMs(), clock.skippedMs());
  }

  /** Stops following the log. */
  public void stop() {
    stopped = true;
    probe.stop();
  }

  /** Returns the offset of the next record to be read, -1 before the first complete read. */
  public long position() {
    return position;
  }

  /** Returns whether the log was read completely at least once. */
  public boolean isStarted() {
    return position >= 0;
  }

  /**
   * Returns when the latest request that read to the log's end was sent; long ago if the machine
   * may have been suspended since.
   */
  public long confirmedAtMs() {
    return confirmedSkippedMs == clock.skippedMs() ? confirmedAtMs : NEVER_MS;
  }

  /** Returns when the log last responded, or when this follower was created if it never did. */
  public long respondedAtMs() {
    return respondedAtMs;
  }

  /** Returns whether the last call failed. */
  public boolean isFailing() {
    return failing;
  }

  /**
   * Reads to the log's end now. Completes once everything that was appended before this call is
   * processed; fails with {@link LogFailure} if the log cannot be read.
   */
  public CompletableFuture<Void> catchUp() {
    if (!isStarted() || failing) {
      return CompletableFuture.failedFuture(unreadable());
    }
    RequestTime requested = now();
    return log.end().thenComposeAsync(end -> readUpTo(end, requested), loop);
  }

  private LogFailure unreadable() {
    return new LogFailure(LogFailure.Kind.NOT_DONE, name + " cannot be read now");
  }

  // The read in flight gets what is missing. A second one for the same records would share the link
  // with it, so one is sent only while nothing arrives.
  private CompletableFuture<Void> readUpTo(long end, RequestTime requested) {
    if (failing) {
      return CompletableFuture.failedFuture(unreadable());
    }
    if (position >= end) {
      succeeded(requested, true);
      return CompletableFuture.completedFuture(null);
    }
    long elapsedMs = clock.nowMs() - requested.atMs();
    CompletableFuture<Void> reached =
        catchUps.await(end, Math.max(0, CATCH_UP_LIMIT_MS - elapsedMs));
    endPause();
    timer.after(SECOND_READ_DELAY_MS, () -> readAgain(end));
    return reached;
  }

  private void readAgain(long end) {
    boolean mayBeLost = !failing && !secondReadInFlight && !log.isReceiving();
    if (stopped || !mayBeLost || position >= end) {
      return;
    }
    secondReadInFlight = true;
    RequestTime requested = now();
    LoopCallbacks.whenDone(
        log.read(position, 0),
        loop,
        (page, failure) -> {
          secondReadInFlight = false;
          if (failure == null) {
            applyPage(page, requested);
          }
        });
  }

  /**
   * Reads to the log's end now unless that was done since the machine was last suspended, or is in
   * flight. The read that was waiting at the log may take another second, and its response no
   * longer counts.
   */
  public void confirm() {
    if (confirming || stopped || !isStarted() || confirmedSkippedMs == clock.skippedMs()) {
      return;
    }
    confirming = true;
    LoopCallbacks.whenDone(catchUp(), loop, (done, failure) -> confirming = false);
  }

  // An exception that the listener throws for one record must not end the reading of all later
  // ones.
  private void runListener(long offset, Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException failure) {
      LOG.error("event=record-not-taken log={} offset={}", name, offset, failure);
    }
  }

  private void follow() {
    if (stopped) {
      return;
    }
    RequestTime requested = now();
    LoopCallbacks.whenDone(
        log.read(position, confirmedSkippedMs == requested.skippedMs() ? READ_WAIT_MS : 0),
        loop,
        (page, failure) -> {
          if (failure == null) {
            applyPage(page, requested);
            followAfterPause(page);
          } else {
            readFailed(LogFailure.of(failure));
          }
        });
  }

  private void readFailed(LogFailure failure) {
    if (failure.kind() == LogFailure.Kind.HISTORY_GONE) {
      LOG.info("event=log-history-gone log={} position={}", name, position);
      start();
    } else {
      failed(failure, this::follow);
    }
  }

  private void followAfterPause(KeyedLog.LogPage page) {
    int pause = pauseMs.getAsInt();
    if (page.records().isEmpty() || pause == 0 || !catchUps.isEmpty()) {
      follow();
    } else {
      pausing = true;
      int number = ++pauses;
      timer.after(pause, () -> endPause(number));
    }
  }

  /** Ends a pause, so that what was appended meanwhile is read now. */
  public void endPause() {
    endPause(pauses);
  }

  private void endPause(int number) {
    if (pausing && number == pauses) {
      pausing = false;
      follow();
    }
  }

  private void applyPage(KeyedLog.LogPage page, RequestTime requested) {
    long offset = page.from();
    for (KeyedRecord record : page.records()) {
      if (offset == position) {
        position++;
        long recordOffset = offset;
        runListener(recordOffset, () -> listener.onRecord(record, recordOffset));
      }
      offset++;
    }
    succeeded(requested, position >= page.end());
    catchUps.advanceTo(position);
  }

  private void succeeded(RequestTime requested, boolean atEnd) {
    respondedAtMs = clock.nowMs();
    if (failing) {
      failing = false;
      LOG.info("event=log-regained log={} position={}", name, position);
      listener.onRecovered();
    }
    // A response that arrived while the machine was suspended does not show the log's current end.
    if (atEnd && requested.skippedMs() == clock.skippedMs()) {
      confirmedAtMs = Math.max(confirmedAtMs, requested.atMs());
      confirmedSkippedMs = requested.skippedMs();
      listener.onCaughtUp();
    }
  }

  private void failed(LogFailure failure, Runnable resume) {
    if (!failing) {
      failing = true;
      LOG.warn("event=log-lost log={} position={} cause={}", name, position, failure.toString());
    }
    if (!stopped) {
      probe.start(resume);
    }
  }
}
