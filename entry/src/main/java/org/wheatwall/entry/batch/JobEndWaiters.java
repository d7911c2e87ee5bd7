package org.wheatwall.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Holds queries for the state of a running job until the job ends, for a short time. A caller has
 * often just seen the last task end, some milliseconds before the job's end is in the log. If it
 * were told "running", it would retry only after its own polling interval: with an interval of 250
 * ms, half of the jobs were seen as succeeded only 264 ms after their end (137 jobs of one day).
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobEndWaiters {
  private final LoopTimer timer;
  private final Map<String, List<CompletableFuture<Void>>> waiting = new HashMap<>();

  JobEndWaiters(LoopTimer timer) {
    this.timer = timer;
  }

  /** Completes once the end of a job is read from the log, or after {@code maxWaitMs}. */
  CompletableFuture<Void> awaitEnd(String jobId, long maxWaitMs) {
    CompletableFuture<Void> query = new CompletableFuture<>();
    waiting.computeIfAbsent(jobId, id -> new ArrayList<>()).add(query);
    timer.after(maxWaitMs, () -> timeOut(jobId, query));
    return query;
  }

  /** Completes the queries that wait for a job, as its end was read from the log. */
  void jobEnded(String jobId) {
    List<CompletableFuture<Void>> queries = waiting.remove(jobId);
    if (queries != null) {
      queries.forEach(query -> query.complete(null));
    }
  }

  /** Returns whether any query waits. */
  boolean hasWaiters() {
    return !waiting.isEmpty();
  }

  private void timeOut(String jobId, CompletableFuture<Void> query) {
    List<CompletableFuture<Void>> queries = waiting.get(jobId);
    if (queries != null && queries.removeIf(candidate -> candidate == query) && queries.isEmpty()) {
      waiting.remove(jobId);
    }
    query.complete(null);
  }
}
