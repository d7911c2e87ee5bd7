package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;

/**
 * Cancellations in the log whose jobs are not known. Callers make up their identifiers, so their
 * number is limited: a workspace may have as many as all leave free.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class UnknownCancellations {
  private static final int MAX_CANCELLATIONS = 10_000;
  private static final int RETRY_AFTER_SECONDS = 10;

  private final BatchContext context;
  private final Map<String, Set<String>> jobsByWorkspace = new HashMap<>();
  private final Map<String, String> workspaceByJob = new HashMap<>();

  UnknownCancellations(BatchContext context) {
    this.context = context;
    context.metrics().gauge("batch.cancellations.unknown", () -> workspaceByJob::size);
  }

  /** Applies a change of the records of a job. */
  void onChange(String jobId, Optional<JobRecord> record) {
    remove(jobId);
    record
        .filter(JobRecord::isWithoutJob)
        .flatMap(JobRecord::cancelScope)
        .ifPresent(scope -> add(jobId, scope.workspace()));
  }

  private void add(String jobId, String workspace) {
    workspaceByJob.put(jobId, workspace);
    jobsByWorkspace.computeIfAbsent(workspace, key -> new HashSet<>()).add(jobId);
  }

  private void remove(String jobId) {
    String workspace = workspaceByJob.remove(jobId);
    if (workspace != null && jobsByWorkspace.get(workspace).remove(jobId)) {
      jobsByWorkspace.computeIfPresent(workspace, (key, jobs) -> jobs.isEmpty() ? null : jobs);
    }
  }

  /** Removes all, before the replica of the job log is rebuilt. */
  void onReset() {
    workspaceByJob.clear();
    jobsByWorkspace.clear();
  }

  /** Fails with a {@link Refusal} if no further cancellation of an unknown job can be kept. */
  void requireRoom(String jobId, CancelScope scope) {
    int held = jobsByWorkspace.getOrDefault(scope.workspace(), Set.of()).size();
    if (workspaceByJob.containsKey(jobId) || held < MAX_CANCELLATIONS - workspaceByJob.size()) {
      return;
    }
    context.metrics().counter("batch.cancellations.refused").inc();
    context
        .decisions()
        .log(
            "cancellation-refused",
            field("job", jobId),
            field("workspace", scope.workspace()),
            field("held", held),
            field("total", workspaceByJob.size()));
    throw new Refusal(
            RefusalKind.LIMIT,
            "the workspace has cancelled too many jobs that are not known",
            "repeat after the time in Retry-After")
        .retryAfter(RETRY_AFTER_SECONDS);
  }
}
