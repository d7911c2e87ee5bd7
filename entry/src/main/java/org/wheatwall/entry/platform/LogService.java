package org.wheatwall.entry.platform;

import java.util.concurrent.CompletableFuture;
import org.wheatwall.wire.platform.LogPage;

/** The platform's append-only log. Futures fail with a {@code Refusal}. */
public interface LogService {
  /**
   * Appends a record and returns its offset. A failure of kind {@code UNKNOWN} means that the
   * record may have been appended.
   */
  CompletableFuture<Long> append(byte[] record);

  /** Reads records from an offset on, waiting up to {@code waitMs} for the first one. */
  CompletableFuture<LogPage> read(long from, int limit, long waitMs);
}
