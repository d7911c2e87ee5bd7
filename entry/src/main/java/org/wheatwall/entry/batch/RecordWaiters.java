package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.model.LogKey;

/**
 * Holds calls until a record of the job log was read that they wait for, for a short time. A caller
 * that asks for the state of a job has often just seen its last task end, some milliseconds before
 * the job's end is in the log. If it were told "running", it would retry only after its own polling
 * interval: with an interval of 250 ms, half of the jobs were seen as succeeded only 264 ms after
 * their end (137 jobs of one day).
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class RecordWaiters {
  private final LoopTimer timer;
  private final Map<LogKey, List<CompletableFuture<Void>>> waiting = new HashMap<>();

  RecordWaiters(LoopTimer timer) {
    this.timer = timer;
  }

  /** Completes once a record with this key is read, or after {@code maxWaitMs}. */
  CompletableFuture<Void> await(LogKey key, long maxWaitMs) {
    CompletableFuture<Void> call = new CompletableFuture<>();
    waiting.computeIfAbsent(key, unused -> new ArrayList<>()).add(call);
    timer.after(maxWaitMs, () -> timeOut(key, call));
    return call;
  }

  /** Completes the calls that wait for a record with this key, as one was read. */
  void onRecord(LogKey key) {
    List<CompletableFuture<Void>> calls = waiting.remove(key);
    if (calls != null) {
      calls.forEach(call -> call.complete(null));
    }
  }

  /** Returns whether any call waits. */
  boolean hasWaiters() {
    return !waiting.isEmpty();
  }

  private void timeOut(LogKey key, CompletableFuture<Void> call) {
    List<CompletableFuture<Void>> calls = waiting.get(key);
    if (calls != null && calls.removeIf(candidate -> candidate == call) && calls.isEmpty()) {
      waiting.remove(key);
    }
    call.complete(null);
  }
}
