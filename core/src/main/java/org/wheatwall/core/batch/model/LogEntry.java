package org.wheatwall.core.batch.model;

import java.util.Optional;

/**
 * A record of the job log.
 *
 * @param content empty in a tombstone, which drops the key
 */
public record LogEntry(LogKey key, Optional<LogContent> content) {
  /** Returns a record that sets a key. */
  public static LogEntry of(LogKey key, LogContent content) {
    return new LogEntry(key, Optional.of(content));
  }

  /** Returns a tombstone, which drops a key. */
  public static LogEntry tombstone(LogKey key) {
    return new LogEntry(key, Optional.empty());
  }
}
