package org.wheatwall.core.batch.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.policy.QueuedJob;

/**
 * State of one term of the decider, shared between its components: jobs, runs, workers, and the
 * records to be appended to the job log next.
 */
final class TermState {
  private static final int MAX_REMEMBERED_ENDED_JOBS = 10_000;
  // A waiting group needs a kilobyte of the heap.
  private static final int MAX_WAITING_GROUPS = 16_000;
  // A few times as many as one pass starts. Jobs that are accepted later wait behind them.
  private static final int MAX_WAITING_GROUPS_OF_LARGE_JOB = 256;

  final SupervisorSettings settings;
  final RunEffects effects;
  final Scheduler scheduler;
  final WorkerRegistry workers;
  final Map<String, JobProgress> jobs = new LinkedHashMap<>();
  final Set<JobProgress> recurring = new LinkedHashSet<>();
  private final Set<JobProgress> placedFrom = new LinkedHashSet<>();
  final RunIndex runs = new RunIndex();
  final PendingStops pendingStops = new PendingStops(this);
  final OrphanedRuns orphanedRuns = new OrphanedRuns(this);
  final PermitManager permits = new PermitManager(this);
  final LeaseExtensions leaseExtensions = new LeaseExtensions(this);
  final WaitTracker waits = new WaitTracker(this);
  final PreferenceRelaxation preferenceRelaxation = new PreferenceRelaxation(this);
  final Set<String> endedJobs = new LinkedHashSet<>();
  final List<LogEntry> pendingEntries = new ArrayList<>();
  boolean dirty;
  boolean evacuationsKnown = true;
  private int appliedWorkersVersion;
  // Clocks of workers in reports that were requested by then are not used.
  long clocksInvalidUntilMs = Long.MIN_VALUE;
  long nowMs;
  long wallMs;

  TermState(
      SupervisorSettings settings,
      RunEffects effects,
      Scheduler scheduler,
      long startMs,
      long earlierCommandsUntilMs) {
    this.settings = settings;
    this.effects = effects;
    this.scheduler = scheduler;
    this.workers = new WorkerRegistry(scheduler, startMs, earlierCommandsUntilMs);
    this.nowMs = startMs;
  }

  void setTime(long monotonicMs, long wallClockMs) {
    nowMs = monotonicMs;
    wallMs = wallClockMs;
  }

  /** Appends the pending entries to the job log, if there are any. */
  void flush() {
    if (!pendingEntries.isEmpty()) {
      flushThen(() -> {});
    }
  }

  /**
   * Appends the pending entries to the job log and runs a callback once all records so far are
   * acknowledged.
   */
  void flushThen(Runnable onAcknowledged) {
    List<LogEntry> entries = List.copyOf(pendingEntries);
    pendingEntries.clear();
    effects.appendToLog(entries, onAcknowledged);
  }

  JobProgress addJob(BatchJob job) {
    long waitedMs = Math.max(0, Math.min(wallMs - job.acceptedAtMs(), settings.retentionMs()));
    JobProgress progress = new JobProgress(job, nowMs - waitedMs);
    jobs.put(job.id(), progress);
    if (job.recurrence().isPresent()) {
      recurring.add(progress);
    }
    return progress;
  }

  Job toSchedulerJob(JobProgress progress, GroupKey group) {
    BatchJob job = progress.job();
    PlacementPreferences preferences =
        preferenceRelaxation.isRelaxed(group)
            ? PlacementPreferences.NONE
            : preferences(progress, group);
    boolean suspect = progress.state(group).suspect();
    return GroupJobs.of(job, group, preferences, permits.permittedWorkers(job, group), suspect);
  }

  private PlacementPreferences preferences(JobProgress progress, GroupKey group) {
    BatchJob job = progress.job();
    StepSpec step = job.steps().get(group.step());
    boolean oneRack =
        step.sameRack()
            && workers.someRackFits(step, job.service(), permits.rackWorkers(job, group));
    return new PlacementPreferences(progress.avoidedWorkers(group), step.dataRack(), oneRack);
  }

  /** Updates the scheduler's jobs of waiting groups whose placement preferences have changed. */
  void refreshDescriptions() {
    refreshWaitingGangs();
    preferenceRelaxation.relaxWaitingGroups();
  }

  /**
   * Updates the scheduler's jobs of waiting gangs after a change of the workers, as other gangs may
   * now fit into one rack.
   */
  private void refreshWaitingGangs() {
    if (appliedWorkersVersion == workers.version()) {
      return;
    }
    appliedWorkersVersion = workers.version();
    for (QueuedJob queued : List.copyOf(scheduler.waiting())) {
      GroupKey group = GroupKey.parse(queued.name()).orElseThrow();
      JobProgress progress = jobs.get(group.jobId());
      if (progress != null && progress.job().steps().get(group.step()).sameRack()) {
        scheduler.updateWaiting(queued.name(), toSchedulerJob(progress, group));
      }
    }
  }

  /**
   * Submits the groups of a job that are ready, as far as the limits on waiting groups permit.
   * Others follow as these are placed.
   */
  void submitReady(JobProgress progress) {
    int room = MAX_WAITING_GROUPS - scheduler.waiting().size();
    int limit = progress.large() ? MAX_WAITING_GROUPS_OF_LARGE_JOB : MAX_WAITING_GROUPS;
    int maxWaiting = Math.max(1, Math.min(limit, room));
    for (GroupKey group : progress.releaseReadyGroups(wallMs, maxWaiting)) {
      if (runs.ofGroup(group).isEmpty()) {
        submit(progress, group);
      }
    }
    if (progress.isPartlyReleased(wallMs) && progress.markHeldBack()) {
      logEvent(
          RunEvent.Kind.JOB_PARTLY_RELEASED,
          progress.job().id(),
          "",
          progress.waiting().size()
              + " groups wait, at most "
              + maxWaiting
              + "; "
              + scheduler.waiting().size()
              + " of all jobs");
    }
  }

  /** Records that the scheduler has placed a group of a job. */
  void onPlaced(JobProgress progress, GroupKey group) {
    progress.recordNotWaiting(group);
    preferenceRelaxation.remove(group);
    placedFrom.add(progress);
  }

  /** Submits further groups of the jobs of which groups were placed since the last call. */
  void replacePlacedGroups() {
    for (JobProgress progress : placedFrom) {
      if (progress.isPartlyReleased(wallMs)) {
        submitReady(progress);
      }
    }
    placedFrom.clear();
  }

  /** Removes a group from the scheduler's queue. */
  void withdraw(JobProgress progress, GroupKey group) {
    progress.recordNotWaiting(group);
    preferenceRelaxation.remove(group);
    scheduler.withdraw(group.text());
  }

  void submit(JobProgress progress, GroupKey group) {
    progress.recordWaiting(group);
    permits.addGroup(progress.job(), group);
    waits.startWait(group);
    preferenceRelaxation.onWaitStarted(group);
    // The groups of a large job go behind what waits when they are released, so that a job with
    // more groups than can be started for minutes does not hold up all that come after it.
    long queuedAtMs = progress.large() ? nowMs : progress.submittedAtMs();
    scheduler.submit(group.text(), toSchedulerJob(progress, group), queuedAtMs);
    dirty = true;
  }

  void onWorkerReported(String worker) {
    if (workers.onResponse(worker, nowMs)) {
      dirty = true;
      logEvent(RunEvent.Kind.WORKER_HEARD, "", worker, "it answers");
    }
    leaseExtensions.onResponse(worker);
  }

  Optional<GroupRun> findRun(TaskName task, int number) {
    JobProgress progress = jobs.get(task.jobId());
    if (progress == null || task.step() >= progress.job().steps().size()) {
      return Optional.empty();
    }
    StepSpec step = progress.job().steps().get(task.step());
    return runs.ofGroup(GroupKey.of(task, step))
        .filter(run -> run.launched() && run.state().run() == number)
        .filter(run -> task.index() < step.tasks());
  }

  // Until its end record is read back from the log, an ended job must not be accepted again.
  void rememberEndedJob(String jobId) {
    endedJobs.add(jobId);
    if (endedJobs.size() > MAX_REMEMBERED_ENDED_JOBS) {
      endedJobs.remove(endedJobs.iterator().next());
    }
  }

  void removeJobIfFinished(JobProgress progress) {
    String id = progress.job().id();
    if (progress.closed() && !runs.hasJob(id)) {
      jobs.remove(id);
      recurring.remove(progress);
      progress.waiting().forEach(preferenceRelaxation::remove);
    }
  }

  void removeWorkerIfIdle(String worker) {
    boolean idle = !runs.isWorkerInUse(worker) && !orphanedRuns.isAnyOn(worker);
    if (idle && workers.find(worker).filter(record -> !record.listed()).isPresent()) {
      workers.remove(worker);
    }
  }

  /** Logs a decision for operators. */
  void logEvent(RunEvent.Kind kind, String jobId, String subject, String reason) {
    effects.logDecision(new RunEvent(kind, jobId, subject, reason));
  }

  /** Delays further starts on a worker that refused one. */
  void delayStarts(String worker, CommandOutcome outcome) {
    int delayMs = workers.onStartRefused(worker, nowMs);
    if (delayMs > 0) {
      String reason = outcome + ", no further start for " + delayMs + " ms";
      logEvent(RunEvent.Kind.WORKER_REFUSES, "", worker, reason);
    }
  }

  /** Records that a call to a worker got no response. */
  void onCallUnanswered(String worker) {
    workers.find(worker).ifPresent(record -> record.onNoResponse(nowMs));
  }

  /** Records that a worker is unreachable. */
  void onWorkerUnreachable(String worker, String reason) {
    onCallUnanswered(worker);
    if (!workers.incarnations().isSuperseded(worker) && workers.markSuspected(worker)) {
      logEvent(RunEvent.Kind.WORKER_UNREACHABLE, "", worker, reason);
    }
  }
}
