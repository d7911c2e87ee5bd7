package org.wheatwall.entry.batch.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Records that are appended together, and the caller that waits for that. */
final class PendingAppend {
  private final List<KeyedRecord> records;
  private final long deadlineMs;
  private final CompletableFuture<Void> result = new CompletableFuture<>();

  PendingAppend(List<KeyedRecord> records, long deadlineMs) {
    this.records = records;
    this.deadlineMs = deadlineMs;
  }

  List<KeyedRecord> records() {
    return records;
  }

  CompletableFuture<Void> result() {
    return result;
  }

  boolean isExpired(long nowMs) {
    return deadlineMs <= nowMs;
  }

  int bytes() {
    int bytes = 0;
    for (KeyedRecord record : records) {
      bytes += record.key().length() + record.value().length;
    }
    return bytes;
  }

  void complete() {
    result.complete(null);
  }

  void fail(LogFailure failure) {
    result.completeExceptionally(failure);
  }
}
