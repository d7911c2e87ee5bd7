package org.wheatwall.entry.batch.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Records that are appended together, and the callers that wait for that. */
final class PendingAppend {
  private final List<KeyedRecord> records;
  private final List<Waiter> waiters = new ArrayList<>();

  private record Waiter(long deadlineMs, CompletableFuture<Void> result) {}

  PendingAppend(List<KeyedRecord> records) {
    this.records = List.copyOf(records);
  }

  List<KeyedRecord> records() {
    return records;
  }

  boolean contains(String key) {
    return records.stream().anyMatch(record -> record.key().equals(key));
  }

  int bytes() {
    return records.stream().mapToInt(KeyedRecord::bytes).sum();
  }

  /** Returns the outcome of these records for a caller that waits until {@code deadlineMs}. */
  CompletableFuture<Void> await(long deadlineMs) {
    Waiter waiter = new Waiter(deadlineMs, new CompletableFuture<>());
    waiters.add(waiter);
    return waiter.result();
  }

  /** Returns whether no caller waits any more. */
  boolean isExpired(long nowMs) {
    return waiters.stream().allMatch(waiter -> waiter.deadlineMs() <= nowMs);
  }

  /** Fails the callers whose deadline has passed. */
  void failExpired(long nowMs, LogFailure failure) {
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.deadlineMs() <= nowMs) {
        waiter.result().completeExceptionally(failure);
      }
    }
  }

  void complete() {
    List.copyOf(waiters).forEach(waiter -> waiter.result().complete(null));
  }

  void fail(LogFailure failure) {
    List.copyOf(waiters).forEach(waiter -> waiter.result().completeExceptionally(failure));
  }
}
