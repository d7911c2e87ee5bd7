package org.wheatwall.entry.batch.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wheatwall.entry.batch.LoopTimer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * Follows a log of keyed records. It starts from the newest record of each key, goes on with what
 * is appended, and starts anew when records were dropped before it read them.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class LogFollower {
  private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
  private static final int WAIT_MS = 1000;
  // A log that says nothing holds each call until its time limit, so while it fails one call
  // follows another without waiting for answers. Callers have 3 s, and come back until then.
  private static final int PROBE_EACH_MS = 200;
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final String name;
  private final KeyedLog log;
  private final Executor loop;
  private final LoopTimer timer;
  private final Clock clock;
  private final Listener listener;
  private final IntSupplier pauseMs;
  private long position = -1;
  private long confirmedAtMs;
  private long confirmedSkippedMs;
  private long answeredAtMs;
  private boolean confirming;
  private boolean failing;
  private boolean probing;
  private int probeSeries;
  private boolean stopped;
  private boolean pausing;
  private int pauses;

  /** When something was asked, and what was skipped by then. */
  private record Moment(long atMs, long skippedMs) {}

  /** Takes in what the log says. */
  public interface Listener {
    /** Starts anew with the newest records of all keys, in the order of their offsets. */
    void restart(List<KeyedLog.NewestRecord> newest);

    /** Takes in the next record. */
    void next(KeyedRecord record, long offset);

    /** Notes that everything up to the log's end, as of a moment ago, was taken in. */
    default void upToDate() {}

    /** Notes that the log can be read again after it could not. */
    default void regained() {}
  }

  /**
   * Creates a follower; {@link #start} begins.
   *
   * @param name of the log, for operators
   * @param pauseMs time between taking in records and asking for more, milliseconds: what is
   *     appended meanwhile comes in one answer instead of many
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
    this.confirmedAtMs = NEVER_MS;
    this.confirmedSkippedMs = clock.skippedMs();
    this.answeredAtMs = clock.nowMs();
  }

  /** Begins to follow. */
  public void start() {
    restart(Optional.empty(), new ArrayList<>(), -1, now());
  }

  private Moment now() {
    return new Moment(clock.nowMs(), clock.skippedMs());
  }

  /** Stops following. */
  public void stop() {
    stopped = true;
  }

  /** Returns the offset of the next record to be read, -1 before the first whole reading. */
  public long position() {
    return position;
  }

  /** Returns whether the log was read whole at least once. */
  public boolean started() {
    return position >= 0;
  }

  /**
   * Returns when the latest reading that reached the log's end was asked for; long ago if the
   * machine may have been suspended since.
   */
  public long confirmedAtMs() {
    return confirmedSkippedMs == clock.skippedMs() ? confirmedAtMs : NEVER_MS;
  }

  /** Returns when the log last answered, or when this follower was made if it never did. */
  public long answeredAtMs() {
    return answeredAtMs;
  }

  /** Returns whether the last call failed. */
  public boolean failing() {
    return failing;
  }

  /**
   * Reads to the log's end now. Completes once everything that was appended before this call is
   * taken in; fails with {@link LogFailure} if the log cannot be read.
   */
  public CompletableFuture<Void> catchUp() {
    if (!started()) {
      return CompletableFuture.failedFuture(
          new LogFailure(LogFailure.Kind.NOT_DONE, name + " was not read yet"));
    }
    Moment asked = now();
    return log.read(position, 0)
        .thenAcceptAsync(
            page -> {
              take(page, asked);
              if (page.end() > position) {
                throw new LogFailure(LogFailure.Kind.NOT_DONE, name + " is being read");
              }
            },
            loop);
  }

  /**
   * Reads to the log's end now unless that was done since the machine was last suspended, or is
   * under way: the reading that waits at the log may take a second, and counts no more.
   */
  public void confirm() {
    if (confirming || stopped || !started() || confirmedSkippedMs == clock.skippedMs()) {
      return;
    }
    confirming = true;
    LoopCallbacks.whenDone(catchUp(), loop, (done, failure) -> confirming = false);
  }

  private void restart(
      Optional<String> afterKey, List<KeyedLog.NewestRecord> read, long end, Moment asked) {
    if (stopped) {
      return;
    }
    LoopCallbacks.whenDone(
        log.newest(afterKey),
        loop,
        (page, failure) -> {
          if (failure == null) {
            takeNewest(page, read, end, asked);
          } else {
            failed(LogFailure.of(failure));
          }
        });
  }

  private void takeNewest(
      KeyedLog.NewestPage page, List<KeyedLog.NewestRecord> read, long end, Moment asked) {
    read.addAll(page.records());
    long from = end < 0 ? page.end() : end;
    if (page.more() && !page.records().isEmpty()) {
      String last = page.records().get(page.records().size() - 1).record().key();
      restart(Optional.of(last), read, from, asked);
      return;
    }
    read.sort(Comparator.comparingLong(KeyedLog.NewestRecord::offset));
    position = from;
    logged(position, () -> listener.restart(read));
    succeeded(asked, true);
    follow();
  }

  // A record that its listener cannot bear must not end the reading of all that follow it.
  private void logged(long offset, Runnable taking) {
    try {
      taking.run();
    } catch (RuntimeException failure) {
      LOG.error("event=record-not-taken log={} offset={}", name, offset, failure);
    }
  }

  private void follow() {
    if (stopped) {
      return;
    }
    Moment asked = now();
    LoopCallbacks.whenDone(
        log.read(position, confirmedSkippedMs == asked.skippedMs() ? WAIT_MS : 0),
        loop,
        (page, failure) -> {
          if (failure == null) {
            take(page, asked);
            followAfterPause(page);
          } else {
            notRead(LogFailure.of(failure));
          }
        });
  }

  private void notRead(LogFailure failure) {
    if (failure.kind() == LogFailure.Kind.HISTORY_GONE) {
      LOG.info("event=log-history-gone log={} position={}", name, position);
      start();
    } else {
      failed(failure);
    }
  }

  private void followAfterPause(KeyedLog.LogPage page) {
    int pause = pauseMs.getAsInt();
    if (page.records().isEmpty() || pause == 0) {
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

  private void take(KeyedLog.LogPage page, Moment asked) {
    long offset = page.from();
    for (KeyedRecord record : page.records()) {
      if (offset == position) {
        position++;
        long taken = offset;
        logged(taken, () -> listener.next(record, taken));
      }
      offset++;
    }
    succeeded(asked, position >= page.end());
  }

  private void succeeded(Moment asked, boolean atEnd) {
    answeredAtMs = clock.nowMs();
    if (failing) {
      failing = false;
      LOG.info("event=log-regained log={} position={}", name, position);
      listener.regained();
    }
    // An answer that came while the machine was suspended tells nothing of the end now.
    if (atEnd && asked.skippedMs() == clock.skippedMs()) {
      confirmedAtMs = Math.max(confirmedAtMs, asked.atMs());
      confirmedSkippedMs = asked.skippedMs();
      listener.upToDate();
    }
  }

  private void failed(LogFailure failure) {
    if (!failing) {
      failing = true;
      LOG.warn("event=log-lost log={} position={} cause={}", name, position, failure.toString());
    }
    probing = true;
    int series = ++probeSeries;
    timer.after(PROBE_EACH_MS, () -> probe(series));
  }

  private void probe(int series) {
    if (stopped || !probing || series != probeSeries) {
      return;
    }
    Moment asked = now();
    LoopCallbacks.whenDone(
        log.read(Math.max(0, position), 0),
        loop,
        (page, failure) -> probed(series, page, asked, Optional.ofNullable(failure)));
    timer.after(PROBE_EACH_MS, () -> probe(series));
  }

  // The first answer ends the probing; one that history is gone shows as well that the log answers.
  private void probed(
      int series, KeyedLog.LogPage page, Moment asked, Optional<Throwable> failure) {
    boolean answered =
        failure
            .map(cause -> LogFailure.of(cause).kind() == LogFailure.Kind.HISTORY_GONE)
            .orElse(true);
    if (stopped || !probing || series != probeSeries || !answered) {
      return;
    }
    probing = false;
    if (failure.isPresent() || !started()) {
      start();
    } else {
      take(page, asked);
      follow();
    }
  }
}
