package org.wheatwall.entry.configuration;

/**
 * Limits the records of a read, so that a page of large ones arrives within the time limits of a
 * call and the size limit of its response. A page that did not arrive is requested again with half
 * as many records.
 */
final class PageLimit {
  /** Maximum number of records in a page. */
  static final int MAX_RECORDS = 500;

  private static final int INITIAL_RECORDS = 50;
  private static final long FAST_PAGE_MS = 1000;

  private int records = INITIAL_RECORDS;

  /** Returns the number of records to request. */
  int records() {
    return records;
  }

  /** Requests more records if a full page arrived quickly. */
  void onPage(int received, long elapsedMs) {
    if (received >= records && elapsedMs < FAST_PAGE_MS) {
      records = Math.min(MAX_RECORDS, records * 2);
    }
  }

  /** Requests fewer records after a page that did not arrive. */
  void onFailure() {
    records = Math.max(1, records / 2);
  }
}
