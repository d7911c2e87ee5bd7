package org.wheatwall.entry.batch.log;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * One read of the newest records of all keys. Their pages are read at different times, so what was
 * appended meanwhile is read as well and merged: the result is the state at one offset.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class SnapshotRead {
  // Pages that were read longer ago are read again, so that no old state is shown for long.
  private static final int VALID_MS = 10_000;

  private final KeyedLog log;
  private final Executor loop;
  private final Clock clock;
  private final long startedMs;
  private final Consumer<Snapshot> onRead;
  private final BiConsumer<LogFailure, Runnable> onFailure;
  private final Runnable onExpired;
  private final Map<String, KeyedLog.NewestRecord> newest = new HashMap<>();
  private long position = -1;
  private long lastPageEnd;

  /**
   * The newest record of each key at an offset.
   *
   * @param records in the order of their offsets
   * @param end offset up to which all records are considered
   */
  record Snapshot(List<KeyedLog.NewestRecord> records, long end) {}

  /**
   * Creates a read; {@link #start} starts it.
   *
   * @param onFailure receives why a call failed and a task that continues the read
   * @param onExpired run instead of continuing if the pages are too old, or the log has dropped
   *     what was appended since
   */
  SnapshotRead(
      KeyedLog log,
      Executor loop,
      Clock clock,
      Consumer<Snapshot> onRead,
      BiConsumer<LogFailure, Runnable> onFailure,
      Runnable onExpired) {
    this.log = log;
    this.loop = loop;
    this.clock = clock;
    this.startedMs = clock.nowMs();
    this.onRead = onRead;
    this.onFailure = onFailure;
    this.onExpired = onExpired;
  }

  void start() {
    readPage(Optional.empty());
  }

  private void readPage(Optional<String> afterKey) {
    LoopCallbacks.whenDone(
        log.newest(afterKey),
        loop,
        (page, failure) -> {
          if (failure == null) {
            addPage(page);
          } else {
            onFailure.accept(LogFailure.of(failure), () -> resume(() -> readPage(afterKey)));
          }
        });
  }

  private void resume(Runnable next) {
    if (clock.nowMs() - startedMs < VALID_MS) {
      next.run();
    } else {
      onExpired.run();
    }
  }

  private void addPage(KeyedLog.NewestPage page) {
    page.records().forEach(entry -> newest.put(entry.record().key(), entry));
    position = position < 0 ? page.end() : position;
    lastPageEnd = page.end();
    if (page.more() && !page.records().isEmpty()) {
      String last = page.records().get(page.records().size() - 1).record().key();
      readPage(Optional.of(last));
    } else {
      readMissing();
    }
  }

  private void readMissing() {
    if (position >= lastPageEnd) {
      List<KeyedLog.NewestRecord> records =
          newest.values().stream()
              .sorted(Comparator.comparingLong(KeyedLog.NewestRecord::offset))
              .toList();
      onRead.accept(new Snapshot(records, position));
      return;
    }
    LoopCallbacks.whenDone(
        log.read(position, 0),
        loop,
        (page, failure) -> {
          if (failure == null && !page.records().isEmpty()) {
            merge(page);
            readMissing();
          } else {
            missingFailed(
                failure == null
                    ? new LogFailure(LogFailure.Kind.UNKNOWN, "records are missing")
                    : LogFailure.of(failure));
          }
        });
  }

  private void missingFailed(LogFailure failure) {
    if (failure.kind() == LogFailure.Kind.HISTORY_GONE) {
      onExpired.run();
    } else {
      onFailure.accept(failure, () -> resume(this::readMissing));
    }
  }

  private void merge(KeyedLog.LogPage page) {
    position = page.from();
    for (KeyedRecord record : page.records()) {
      merge(new KeyedLog.NewestRecord(record, position++));
    }
  }

  private void merge(KeyedLog.NewestRecord next) {
    String key = next.record().key();
    KeyedLog.NewestRecord known = newest.get(key);
    if (known != null && known.offset() >= next.offset()) {
      return;
    }
    if (next.record().value().length == 0) {
      newest.remove(key);
    } else {
      newest.put(key, next);
    }
  }
}
