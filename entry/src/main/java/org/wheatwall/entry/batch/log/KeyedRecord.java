package org.wheatwall.entry.batch.log;

/**
 * A record of a log that keeps the newest record of each key.
 *
 * @param value bytes, not copied; empty for a tombstone, which drops the key
 */
public record KeyedRecord(String key, byte[] value) {
  /** Returns the number of bytes of key and value. */
  int bytes() {
    return key.length() + value.length;
  }
}
