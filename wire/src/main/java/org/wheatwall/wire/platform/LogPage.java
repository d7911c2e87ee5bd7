package org.wheatwall.wire.platform;

import java.util.List;

/**
 * Response of the log service to a read.
 *
 * @param first offset of the oldest retained record
 * @param next offset that the next append will get
 * @param records records in order of offset
 */
public record LogPage(long first, long next, List<Entry> records) {
  /**
   * One record.
   *
   * @param ageMs milliseconds since it was appended, by the log's clock
   * @param data content
   */
  public record Entry(long offset, long ageMs, String data) {}

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
