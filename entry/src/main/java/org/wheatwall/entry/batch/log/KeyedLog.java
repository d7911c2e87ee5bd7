package org.wheatwall.entry.batch.log;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's log, as far as the job log needs it: one sequence of keyed records with offsets,
 * whose old records go after some time while the newest of each key is kept. Futures fail with
 * {@link LogFailure}.
 */
public interface KeyedLog {
  /** Appends records: all, in one piece, or none. */
  CompletableFuture<Appended> append(AppendCall call);

  /**
   * Reads records from an offset; waits for one if there is none.
   *
   * @param waitMs longest wait, milliseconds
   */
  CompletableFuture<LogPage> read(long from, int waitMs);

  /** Reads the newest record of each key, in pages; the pages together are no snapshot. */
  CompletableFuture<NewestPage> newest(Optional<String> afterKey);

  /**
   * Records to append.
   *
   * @param onlyAt appends only if the log ends there; always if empty
   * @param producer name under which repeats are recognised
   * @param epoch rises whenever another process takes the producer's name; a lower one is refused
   * @param sequence number of this call within the epoch; a repeat with the same number is answered
   *     as the first was
   */
  record AppendCall(
      List<KeyedRecord> records, OptionalLong onlyAt, String producer, long epoch, long sequence) {}

  /**
   * Where records were appended.
   *
   * @param offset offset of the first
   */
  record Appended(long offset) {}

  /**
   * Records in a row.
   *
   * @param from offset of the first record
   * @param end offset that the next record appended would have had when this was read
   */
  record LogPage(long from, long end, List<KeyedRecord> records) {}

  /**
   * Newest records of some keys.
   *
   * @param more whether pages with higher keys follow
   * @param end offset that the next record appended would have had when this was read
   */
  record NewestPage(List<NewestRecord> records, boolean more, long end) {}

  /** The newest record of a key. */
  record NewestRecord(KeyedRecord record, long offset) {}
}
