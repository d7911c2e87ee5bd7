package org.wheatwall.entry.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.model.BatchState;

/**
 * Jobs of which no task had begun when their next start was recorded a moment ago. That start may
 * be refused as the earlier ones were, so they count as pending until its outcome has had time to
 * be recorded.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class RetriedJobs {
  // Callers may be given a count that is 2 s old, and reading the log takes a part of that.
  private static final int OUTCOME_WAIT_MS = 1000;

  private final Map<String, Long> retriedAtMs = new HashMap<>();

  void add(String jobId, long nowMs) {
    retriedAtMs.values().removeIf(sinceMs -> nowMs - sinceMs >= OUTCOME_WAIT_MS);
    retriedAtMs.put(jobId, nowMs);
  }

  /** Returns the number of jobs of a queue that were retried a moment ago and still run. */
  int count(JobTable table, String queue, long nowMs) {
    retriedAtMs.values().removeIf(sinceMs -> nowMs - sinceMs >= OUTCOME_WAIT_MS);
    return (int)
        retriedAtMs.keySet().stream()
            .map(table::job)
            .flatMap(Optional::stream)
            .filter(record -> record.job().orElseThrow().queue().equals(queue))
            .filter(RetriedJobs::countsAsRunning)
            .count();
  }

  private static boolean countsAsRunning(JobRecord record) {
    return record.state() == BatchState.RUNNING && !record.pending();
  }
}
