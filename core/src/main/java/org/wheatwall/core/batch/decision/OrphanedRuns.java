package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * Runs that workers report although this decider has no such run there: the worker executed the
 * start late, or the decider that sent it is gone. They are stopped.
 *
 * <p>A report may be older than the last end that was processed: the end of a gang is known from
 * its first task, while other workers still list theirs. Therefore a run is stopped only if it is
 * reported again: in the next report if its job has ended or is unknown, since no run of that job
 * can be current, and otherwise after {@link #OPEN_JOB_GRACE_MS}.
 */
final class OrphanedRuns {
  /** Time from the first report of a run of an open job to its stop, milliseconds. */
  static final int OPEN_JOB_GRACE_MS = 1500;

  // A worker that still lists a run so long after a stop has not executed it.
  private static final int STOP_AGAIN_AFTER_MS = 1500;

  private final TermState term;
  private final Map<String, Map<RunName, Orphan>> byWorker = new HashMap<>();

  private record RunName(TaskName task, int run) {}

  /**
   * An orphaned run.
   *
   * @param sinceMs time of its first report
   * @param stopSentMs time of the last stop, empty if none was sent
   */
  private record Orphan(long sinceMs, Optional<Long> stopSentMs) {}

  OrphanedRuns(TermState term) {
    this.term = term;
  }

  /** Returns whether a worker listed an orphaned run in its last report. */
  boolean isAnyOn(String worker) {
    return byWorker.containsKey(worker);
  }

  /** Replaces the orphaned runs of a worker by those in its latest report. */
  void onReported(String worker, List<WorkerInventory.RunningTask> unknown) {
    Map<RunName, Orphan> before = byWorker.getOrDefault(worker, Map.of());
    Map<RunName, Orphan> now = new HashMap<>();
    boolean confirm = false;
    for (WorkerInventory.RunningTask task : unknown) {
      RunName name = new RunName(task.task(), task.run());
      Orphan known = before.get(name);
      confirm |= known == null && !isJobOpen(name.task());
      Orphan next =
          known == null
              ? new Orphan(term.nowMs, Optional.empty())
              : onReportedAgain(worker, name, known);
      now.put(name, next);
    }
    if (now.isEmpty()) {
      byWorker.remove(worker);
    } else {
      byWorker.put(worker, now);
    }
    if (confirm) {
      term.effects.requestReport(worker);
    }
  }

  private Orphan onReportedAgain(String worker, RunName name, Orphan known) {
    boolean due =
        known
            .stopSentMs()
            .map(sentMs -> term.nowMs - sentMs >= STOP_AGAIN_AFTER_MS)
            .orElseGet(() -> isFirstStopDue(name, known));
    if (!due) {
      return known;
    }
    if (known.stopSentMs().isEmpty()) {
      logStop(worker, name, known);
    }
    term.pendingStops.send(new StopCommand(worker, name.task(), name.run()));
    return new Orphan(known.sinceMs(), Optional.of(term.nowMs));
  }

  private boolean isFirstStopDue(RunName name, Orphan known) {
    return !isJobOpen(name.task()) || term.nowMs - known.sinceMs() >= OPEN_JOB_GRACE_MS;
  }

  private boolean isJobOpen(TaskName task) {
    JobProgress progress = term.jobs.get(task.jobId());
    return progress != null && !progress.closed();
  }

  private void logStop(String worker, RunName name, Orphan known) {
    String job = isJobOpen(name.task()) ? "is open" : "has ended or is unknown";
    term.logEvent(
        RunEvent.Kind.STRAY_RUN,
        name.task().jobId(),
        worker,
        "run "
            + name.run()
            + " of task "
            + name.task().index()
            + ", reported for "
            + (term.nowMs - known.sinceMs())
            + " ms; its job "
            + job);
  }

  /** Forgets workers that are no longer listed and whose leases have expired. */
  void tick() {
    for (String worker : List.copyOf(byWorker.keySet())) {
      if (term.workers.find(worker).map(this::isGone).orElse(true)) {
        byWorker.remove(worker);
        term.removeWorkerIfIdle(worker);
      }
    }
  }

  private boolean isGone(WorkerRecord record) {
    long silentMs = term.nowMs - record.lastResponseMs();
    return !record.listed() && silentMs > term.settings.leaseExpiryMs();
  }
}
