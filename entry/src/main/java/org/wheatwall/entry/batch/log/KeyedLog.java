package org.wheatwall.entry.batch.log;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The operations of the platform's log that the job log needs. The log is one sequence of keyed
 * records with offsets; old records are dropped after some time, but the newest of each key is
 * kept. Futures fail with {@link LogFailure}.
 */
public interface KeyedLog {
  /** Appends records atomically: all of them, contiguously, or none. */
  CompletableFuture<Appended> append(AppendCall call);

  /**
   * Reads records from an offset; waits for one if there is none.
   *
   * @param waitMs longest wait, milliseconds
   */
  CompletableFuture<LogPage> read(long from, int waitMs);

  /**
   * Reads the newest record of each key, in pages; the pages together are not a consistent
   * snapshot.
   */
  CompletableFuture<NewestPage> newest(Optional<String> afterKey);

  /**
   * Returns the offset that the next appended record will have. The response carries no records,
   * however many there are and however large, so it shows soon whether the log responds.
   */
  CompletableFuture<Long> end();

  /** Returns whether records that were requested earlier are arriving now. */
  default boolean isReceiving() {
    return false;
  }

  /**
   * Records to append.
   *
   * @param expectedEnd offset at which the log must end for the append to succeed; no condition if
   *     empty
   * @param producer name under which retries are recognised
   * @param epoch rises whenever another process takes over the producer's name; a lower one is
   *     rejected
   * @param sequence number of this call within the epoch; a retry with the same number gets the
   *     response of the first
   */
  record AppendCall(
      List<KeyedRecord> records,
      OptionalLong expectedEnd,
      String producer,
      long epoch,
      long sequence) {}

  /**
   * Where records were appended.
   *
   * @param offset offset of the first record
   */
  record Appended(long offset) {}

  /**
   * Consecutive records.
   *
   * @param from offset of the first record
   * @param end offset that the next appended record would have had at the time of the read
   */
  record LogPage(long from, long end, List<KeyedRecord> records) {}

  /**
   * Newest records of some keys.
   *
   * @param more whether pages with higher keys follow
   * @param end offset that the next appended record would have had at the time of the read
   */
  record NewestPage(List<NewestRecord> records, boolean more, long end) {}

  /** The newest record of a key. */
  record NewestRecord(KeyedRecord record, long offset) {}
}
