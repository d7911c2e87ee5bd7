package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.Optional;
import org.wheatwall.core.batch.decision.JobMemory;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/**
 * Refuses new jobs while the accepted ones need as much memory as their workspace may use.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class JobMemoryLimit {
  // Jobs are held until they have ended and their records were dropped.
  private static final int RETRY_AFTER_SECONDS = 10;

  private final JobMemory memory;
  private final BatchContext context;

  JobMemoryLimit(JobMemory memory, BatchContext context) {
    this.memory = memory;
    this.context = context;
    context.metrics().gauge("batch.jobs.memory-bytes", () -> memory::totalBytes);
    context.metrics().gauge("batch.jobs.memory-limit-bytes", () -> memory::limitBytes);
  }

  /** Counts a job that was read from the log, whether or not it has ended. */
  void onJob(JobRecord record) {
    record.job().ifPresent(job -> memory.put(job, record.end().isPresent()));
  }

  void onJobDropped(String jobId) {
    memory.remove(jobId);
  }

  /** Removes all jobs, before the replica of the job log is rebuilt. */
  void onReset() {
    memory.clear();
  }

  /** Returns the refusal of a new job; empty if it may be accepted. */
  Optional<Refusal> check(BatchJob job) {
    if (memory.hasRoomFor(job)) {
      return Optional.empty();
    }
    context.metrics().counter("batch.jobs.refused-for-memory").inc();
    context
        .decisions()
        .log(
            "job-refused-for-memory",
            field("job", job.id()),
            field("workspace", job.workspace()),
            field("bytes", JobMemory.bytesOf(job)),
            field("workspaceBytes", memory.heldBy(job.workspace())),
            field("totalBytes", memory.totalBytes()),
            field("limitBytes", memory.limitBytes()));
    Refusal refusal =
        new Refusal(
            RefusalKind.LIMIT,
            "the accepted jobs of the workspace leave no memory for this one",
            "repeat after the time in Retry-After, or cancel jobs");
    return Optional.of(refusal.retryAfter(RETRY_AFTER_SECONDS));
  }
}
