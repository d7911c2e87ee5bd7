package org.wheatwall.core.job.decision;

import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.WorkspaceShareSettings;
import org.wheatwall.core.job.policy.QueuedJob;

/** State of the division of capacity between workspaces, from one scheduling pass to the next. */
final class WorkspaceDivision {
  private final WorkspaceShareSettings settings;
  private final WorkspaceUsage usage = new WorkspaceUsage();
  private final DominantShares shares;
  private final Lateness lateness;
  private final LateTurns turns = new LateTurns();
  private final StopLimit stopLimit = new StopLimit();
  private long passes;
  private long stops;
  private long stopsAboveShare;
  private long lateStarts;

  WorkspaceDivision(
      WorkspaceShareSettings settings,
      CapacityInUse capacity,
      Function<Job, Objective> objectives,
      int starvationBoundMs) {
    this.settings = settings;
    this.shares = new DominantShares(capacity, usage);
    this.lateness = new Lateness(objectives, settings.hopelessAfterObjectives(), starvationBoundMs);
  }

  WorkspaceUsage usage() {
    return usage;
  }

  DominantShares shares() {
    return shares;
  }

  Lateness lateness() {
    return lateness;
  }

  LateTurns turns() {
    return turns;
  }

  StopLimit stopLimit() {
    return stopLimit;
  }

  /** Returns whether a job goes behind those of its workspace that can still be in time. */
  boolean isLate(QueuedJob queued, long nowMs) {
    return level(queued, nowMs) != Lateness.Level.IN_TIME;
  }

  /** Returns the lateness by which a job is ordered. */
  Lateness.Level level(QueuedJob queued, long nowMs) {
    return settings.lateLast() ? lateness.level(queued, nowMs) : Lateness.Level.IN_TIME;
  }

  /** Records that a pass begins over the waiting jobs of {@code waitingWorkspaces}. */
  void beginPass(Set<String> waitingWorkspaces, long nowMs) {
    passes++;
    shares.setWaiting(waitingWorkspaces);
    lateness.beginPass(nowMs);
  }

  /** Records an attempt that was found running. */
  void attemptAdopted(Job job, int tasks) {
    usage.add(job, tasks);
  }

  /** Records an attempt that was started. */
  void attemptStarted(QueuedJob queued, int tasks, long nowMs) {
    usage.add(queued.job(), tasks);
    boolean late = isLate(queued, nowMs);
    turns.recordStart(queued, late);
    lateStarts += late ? 1 : 0;
  }

  /** Records that tasks of a job hold nothing any longer. */
  void tasksEnded(Job job, int tasks) {
    usage.remove(job, tasks);
  }

  /** Records that an attempt was stopped for another job. */
  void attemptStopped(RunningAttempt attempt) {
    stops++;
    stopsAboveShare += shares.isExceeded(attempt.job().workspace()) ? 1 : 0;
    stopLimit.recordStop(attempt.jobName());
  }

  /** Forgets a job that has ended. */
  void forget(String jobName) {
    lateness.forget(jobName);
    stopLimit.forget(jobName);
  }

  WorkspaceShareStatus status() {
    Map<String, Double> largest =
        shares.byWorkspace().entrySet().stream()
            .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
            .limit(WorkspaceShareStatus.MAX_WORKSPACES)
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    return new WorkspaceShareStatus(
        largest, shares.equalShare(), passes, stops, stopsAboveShare, lateStarts);
  }
}
