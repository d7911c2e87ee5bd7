package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerIncarnation;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Objective;

/**
 * Decides for one term which groups of tasks start on which workers, and tracks each run to its
 * end.
 *
 * <p>Invariants: a run is logged before any command for it is sent; the next run of a group starts
 * only once no task of the previous run is running or can still start; an end is logged before it
 * is acknowledged to the worker; a group that is done stays done.
 *
 * <p>Has no side effects of its own: time is passed in, and all effects go through {@link
 * RunEffects}. Not thread-safe; owned by the decision loop. One instance serves one term.
 */
public final class RunSupervisor {
  private static final int MAX_DECISION_INTERVAL_MS = 250;
  private static final int RETENTION_SWEEP_INTERVAL_MS = 5000;
  private static final int MAX_JOBS_DROPPED_PER_SWEEP = 50;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final WorkerReports reports;
  private final WorkerRestarts restarts;
  private final UnansweredStarts unansweredStarts;
  private final FirstReports firstReports;
  private final HostSpeedUpdater hostSpeedUpdater;
  private final Optional<RunTimeRatioUpdater> runTimeRatioUpdater;
  private final WorkerProgress progress;
  private final ReachabilityRule reachabilityRule;
  private final PendingStarts pendingStarts;
  private final DecisionExecutor decisionExecutor;
  private long lastDecisionAtMs;
  private boolean firstDecisionLogged;
  private long lastSweepAtMs;

  /**
   * Creates a supervisor for a term that starts now, without run times from earlier terms.
   *
   * @param number number of the term, part of the identifiers of attempts
   * @param overlapMs how much longer the previous decider may send commands, milliseconds
   */
  public RunSupervisor(
      SupervisorSettings settings,
      SchedulerSettings scheduling,
      RunEffects effects,
      long number,
      long startMs,
      long overlapMs) {
    this(
        settings,
        scheduling,
        effects,
        number,
        startMs,
        overlapMs,
        new RunTimeTracker(scheduling.features().speedAware().enabled()));
  }

  /**
   * Creates a supervisor for a term that starts now.
   *
   * @param number number of the term, part of the identifiers of attempts
   * @param overlapMs how much longer the previous decider may send commands, milliseconds
   * @param runTimes run times learned before this term; during the term only this supervisor
   *     consumes changes from it
   */
  public RunSupervisor(
      SupervisorSettings settings,
      SchedulerSettings scheduling,
      RunEffects effects,
      long number,
      long startMs,
      long overlapMs,
      RunTimeTracker runTimes) {
    Scheduler scheduler = new Scheduler(scheduling);
    scheduler.setAttemptPrefix("t" + number);
    this.term = new TermState(settings, effects, scheduler, startMs, startMs + overlapMs);
    this.lifecycle = new RunLifecycle(term);
    this.hostSpeedUpdater =
        new HostSpeedUpdater(term, runTimes.hostSpeeds(), scheduling.mechanisms());
    Optional<RunTimeTracker> ratioSource =
        Optional.of(runTimes).filter(all -> scheduling.features().speedAware().enabled());
    this.runTimeRatioUpdater =
        ratioSource.map(source -> new RunTimeRatioUpdater(term, source.runTimeRatios()));
    this.progress = new WorkerProgress(term, scheduling.mechanisms(), ratioSource);
    this.reports = new WorkerReports(term, lifecycle, progress);
    this.unansweredStarts = new UnansweredStarts(term);
    this.restarts = new WorkerRestarts(term, lifecycle, unansweredStarts);
    this.firstReports = new FirstReports(term.workers, startMs);
    this.reachabilityRule = new ReachabilityRule(term);
    this.pendingStarts = new PendingStarts(term, lifecycle);
    this.decisionExecutor = new DecisionExecutor(term, lifecycle, pendingStarts);
    this.lastSweepAtMs = startMs;
  }

  /** Returns the scheduler, for setting policies and reading metrics. */
  public Scheduler scheduler() {
    return term.scheduler;
  }

  /** Applies the scheduling rules of the operator's configuration. */
  public void setRules(SchedulingRules rules, long monotonicMs) {
    term.nowMs = monotonicMs;
    Map<String, Integer> guarantees = new HashMap<>();
    rules
        .urgentGuarantees()
        .forEach((workspace, count) -> guarantees.put(Names.toValidName(workspace), count));
    term.scheduler.setUrgentGuarantees(guarantees);
    Map<String, Objective> objectives = new HashMap<>();
    rules
        .objectives()
        .forEach((queue, objective) -> objectives.put(Names.toLabelText(queue), objective));
    term.scheduler.setObjectives(objectives);
    term.permits.setQueues(rules.permitQueues());
    term.dirty = true;
  }

  /**
   * Applies the operator's evacuations: no task starts in an evacuated availability zone, and none
   * at all while the evacuations are not known. What runs there continues.
   *
   * @param zones the evacuated zones; empty if they are not known
   */
  public void setEvacuatedZones(Optional<Set<String>> zones, long monotonicMs) {
    term.nowMs = monotonicMs;
    term.evacuationsKnown = zones.isPresent();
    zones.ifPresent(term.workers::setEvacuatedZones);
    term.dirty = true;
  }

  /** Returns whether the operator allows starts on a worker, as far as this host knows. */
  public boolean isStartAllowedOn(String worker) {
    return lifecycle.starter().isStartAllowedOn(worker);
  }

  /**
   * Processes the response to a permit request.
   *
   * @param response empty if the request failed
   * @param sentAtMs when the request was sent, milliseconds of the monotonic clock
   */
  public void onPermits(
      PermitRequest request, Optional<PermitResponse> response, long sentAtMs, long monotonicMs) {
    term.nowMs = monotonicMs;
    term.permits.onResponse(request, response, sentAtMs);
  }

  /** Treats all permits as expired, for use when their remaining validity is unknown. */
  public void expirePermits() {
    term.permits.expireAll();
  }

  /**
   * Treats the clocks of all workers as unknown until they are requested anew, for use after this
   * machine was suspended.
   */
  public void invalidateClocks(long monotonicMs) {
    term.nowMs = monotonicMs;
    term.clocksInvalidUntilMs = monotonicMs;
    term.workers.records().forEach(WorkerRecord::invalidateClock);
  }

  /** Takes over the state in the job log, without lease stops. */
  public void adopt(JobTable table, long monotonicMs, long wallMs) {
    adopt(table, new LeaseStops(), monotonicMs, wallMs);
  }

  /** Takes over the state in the job log. Must be called once, before any other method. */
  public void adopt(JobTable table, LeaseStops leaseStops, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    new TermTakeOver(term, lifecycle).takeOver(table);
    term.leaseExtensions.adopt(leaseStops);
    term.flush();
  }

  /** Adds an accepted job. */
  public void accept(BatchJob job, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (!term.jobs.containsKey(job.id()) && !term.endedJobs.contains(job.id())) {
      JobProgress progress = term.addJob(job);
      term.submitReady(progress);
    }
  }

  /** Cancels a job at the request of its submitter. */
  public void cancel(String jobId, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    JobProgress progress = term.jobs.get(jobId);
    if (progress != null && !progress.closed()) {
      lifecycle.endJob(progress, BatchState.CANCELLED, "the submitter cancelled it");
      term.flush();
    }
  }

  /**
   * Processes an entry of the platform's worker list. Ignores entries of superseded incarnations.
   */
  public void listWorker(WorkerInfo info, long monotonicMs) {
    term.nowMs = monotonicMs;
    Optional<WorkerIncarnation> latestIncarnation =
        term.workers.incarnations().latest(info.incarnation().id());
    if (info.incarnation().startedAtMs().isEmpty() && latestIncarnation.isPresent()) {
      addToList(info.withIncarnation(latestIncarnation.get()));
    } else if (!term.workers.incarnations().isSuperseded(info.id())) {
      addToList(info);
    }
  }

  private void addToList(WorkerInfo info) {
    boolean isNew = term.workers.updateListing(info, term.nowMs);
    restarts.endIncarnationsBefore(info.id());
    if (isNew) {
      term.logEvent(RunEvent.Kind.WORKER_LISTED, "", info.id(), "rack " + info.rack());
      term.effects.requestReport(info.id());
    }
    hostSpeedUpdater.onListed(info.id());
    runTimeRatioUpdater.ifPresent(updater -> updater.onListed(info.id()));
    term.dirty = true;
    term.flush();
  }

  /** Records that a later incarnation of a worker responded instead of the addressed one. */
  public void onWorkerRestarted(String worker, long startedAtMs, long monotonicMs) {
    WorkerIncarnation laterIncarnation =
        WorkerIncarnation.startedAt(WorkerIncarnation.parse(worker).id(), startedAtMs);
    workerInfo(worker)
        .ifPresent(info -> listWorker(info.withIncarnation(laterIncarnation), monotonicMs));
  }

  /** Returns whether a later incarnation of a worker is known. */
  public boolean isSuperseded(String worker) {
    return term.workers.incarnations().isSuperseded(worker);
  }

  /** Records that the platform no longer lists a worker. */
  public void unlistWorker(String id, long monotonicMs) {
    term.nowMs = monotonicMs;
    String listedIncarnation =
        term.workers
            .incarnations()
            .latest(WorkerIncarnation.parse(id).id())
            .map(WorkerIncarnation::name)
            .orElse(id);
    if (term.workers.markUnlisted(listedIncarnation, monotonicMs)) {
      term.logEvent(RunEvent.Kind.WORKER_UNLISTED, "", listedIncarnation, "its entry is gone");
      term.removeWorkerIfIdle(listedIncarnation);
    }
  }

  /** Returns whether a command that extends the leases on a worker may be sent. */
  public boolean mayExtendLeases(String worker) {
    return term.leaseExtensions.isAllowedAt(worker);
  }

  /**
   * Returns the lease for a renewal at a worker, milliseconds: shorter if it shuts down as planned.
   */
  public int renewalLeaseMs(String worker, long monotonicMs) {
    return term.workers
        .find(worker)
        .map(record -> record.renewalLeaseMs(term.settings.leaseMs(), monotonicMs))
        .orElse(term.settings.leaseMs());
  }

  /** Returns whether a worker shuts down as planned, or did so when it was last listed. */
  public boolean isDraining(String worker) {
    return term.workers.find(worker).filter(WorkerRecord::isDraining).isPresent();
  }

  /** Records that a command was sent that extends the leases on a worker by their maximum. */
  public void onLeaseSent(String worker, long monotonicMs) {
    onLeaseSent(worker, term.settings.leaseMs(), monotonicMs);
  }

  /**
   * Records that a command was sent that extends the leases on a worker.
   *
   * @param leaseMs by how much, at most the maximum lease, milliseconds
   */
  public void onLeaseSent(String worker, int leaseMs, long monotonicMs) {
    // A shorter lease ends when a maximum lease would that was sent earlier.
    long maximumSentAtMs = monotonicMs - (term.settings.leaseMs() - leaseMs);
    term.workers.getOrCreate(worker).onLeaseSent(maximumSentAtMs);
  }

  /** Records that a call to a worker got no response. */
  public void onCallUnanswered(String worker, long monotonicMs) {
    term.nowMs = monotonicMs;
    term.onCallUnanswered(worker);
    lifecycle.starter().continueLaunchesOn(worker);
  }

  /** Records that a worker is unreachable. */
  public void onWorkerUnreachable(String worker, String reason, long monotonicMs) {
    term.nowMs = monotonicMs;
    term.onWorkerUnreachable(worker, reason);
    lifecycle.starter().continueLaunchesOn(worker);
  }

  /** Records that an incarnation of a worker has ended: nothing runs or can start there. */
  public void onWorkerGone(String worker, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (isSuperseded(worker)) {
      return;
    }
    lifecycle.endRunsOnGoneWorker(worker);
    term.flush();
  }

  /**
   * Returns whether a worker must be polled: it may run tasks, or has ends to be acknowledged, or
   * orphaned runs.
   */
  public boolean needsReports(String worker) {
    return term.runs.isWorkerInUse(worker)
        || reports.hasUnacknowledgedEnds(worker)
        || term.orphanedRuns.isAnyOn(worker);
  }

  /**
   * Returns whether a worker has reported orphaned runs and none of this decider's runs is there:
   * its leases need not be extended, so that these runs expire even if no stop reaches them.
   */
  public boolean hasOnlyOrphanedRuns(String worker) {
    return term.orphanedRuns.isAnyOn(worker) && !term.runs.isWorkerInUse(worker);
  }

  /**
   * Returns whether ends reported by a worker are not yet logged and acknowledged. Until they are,
   * the worker includes them in every report and returns it at once, ignoring the wait time of the
   * query.
   */
  public boolean hasUnloggedEnds(String worker) {
    return reports.hasUnacknowledgedEnds(worker);
  }

  /** Returns the listed workers that have not reported, or have stopped responding. */
  public List<String> silentWorkers() {
    return term.workers.silentCount() == 0
        ? List.of()
        : term.workers.records().stream()
            .filter(WorkerRecord::silent)
            .map(WorkerRecord::id)
            .toList();
  }

  /** Returns the workers of an availability zone that can receive new work. */
  public List<String> usableWorkersIn(String zone) {
    return term.workers.all().stream()
        .filter(WorkerRecord::usable)
        .filter(record -> record.info().filter(info -> info.zone().equals(zone)).isPresent())
        .map(WorkerRecord::id)
        .toList();
  }

  /** Returns a worker's entry in the platform's worker list; empty if it is not known. */
  public Optional<WorkerInfo> workerInfo(String worker) {
    return term.workers.find(worker).flatMap(WorkerRecord::info);
  }

  /** Returns the workers on which tasks run or may run. */
  public Set<String> workersInUse() {
    return new HashSet<>(term.runs.workers());
  }

  /** Returns the number of the last end of {@code worker} that has been logged; 0 if none. */
  public long acknowledgedEndNumber(String worker) {
    return term.workers.find(worker).map(WorkerRecord::lastAcknowledgedEnd).orElse(0L);
  }

  /** Returns the groups that have a run. */
  public Set<GroupKey> runningGroups() {
    return Set.copyOf(term.runs.groups());
  }

  /** Returns, for each waiting or running group of a job, what it waits for or where it runs. */
  public List<String> explain(String jobId) {
    return new RunExplainer(term).explain(jobId);
  }

  /** Processes the outcome of a start command. */
  public void onStartOutcome(
      StartCommand command, CommandOutcome outcome, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (outcome == CommandOutcome.UNKNOWN) {
      unansweredStarts.recordUnanswered(command);
    }
    Optional<GroupRun> found = term.findRun(command.task(), command.run());
    if (outcome == CommandOutcome.WORKER_GONE) {
      onWorkerGone(command.worker(), monotonicMs, wallMs);
    } else if (found.isPresent()) {
      GroupRun run = found.get();
      MemberRun member = run.member(command.task());
      if (member.worker().equals(command.worker()) && !member.ended()) {
        lifecycle.starter().handleStartOutcome(run, member, outcome);
      }
    }
    term.flush();
  }

  /** Processes the outcome of a stop command. */
  public void onStopOutcome(
      StopCommand command, CommandOutcome outcome, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (outcome == CommandOutcome.WORKER_GONE) {
      onWorkerGone(command.worker(), monotonicMs, wallMs);
      return;
    }
    boolean stopped = outcome == CommandOutcome.DONE || outcome == CommandOutcome.OLD_RUN;
    if (!stopped) {
      return;
    }
    term.pendingStops.onAcknowledged(command);
    term.findRun(command.task(), command.run())
        .map(run -> run.member(command.task()))
        .filter(member -> member.worker().equals(command.worker()))
        .ifPresent(member -> member.recordStopAcknowledged(term.nowMs));
    term.effects.requestReport(command.worker());
  }

  /** Handles due times, resends, timeouts and expired leases. */
  public void tick(long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    for (JobProgress progress : List.copyOf(term.recurring)) {
      term.submitReady(progress);
    }
    lifecycle.endMembersWithExpiredLeases();
    term.dirty |= term.workers.endStartDelays(monotonicMs);
    reports.tick();
    lifecycle.resendDueCommands();
    pendingStarts.tick();
    term.leaseExtensions.tick();
    reachabilityRule.tick();
    unansweredStarts.tick();
    term.orphanedRuns.tick();
    term.pendingStops.tick();
    term.permits.tick();
    term.waits.tick();
    term.flush();
  }

  /** Returns whether there is work while most workers are unreachable from this host. */
  public boolean isReachabilitySurveyNeeded() {
    return reachabilityRule.isSurveyNeeded();
  }

  /** Returns whether that has lasted so long that any other host may do better. */
  public boolean isReleaseDue() {
    return reachabilityRule.isReleaseDue();
  }

  /** Returns the listed workers. */
  public List<WorkerInfo> listedWorkers() {
    return term.workers.all().stream()
        .filter(WorkerRecord::listed)
        .flatMap(record -> record.info().stream())
        .toList();
  }

  /** Returns the number of workers for which progress of tasks is kept. */
  int workersWithProgress() {
    return progress.workers();
  }

  /** Returns a summary of the waiting groups, updated once per second. */
  public WaitSummary waitSummary() {
    return term.waits.summary();
  }

  /** Returns whether a scheduling pass is due, because of a change or the maximum interval. */
  public boolean isDecisionDue(long monotonicMs) {
    boolean due = term.dirty || monotonicMs - lastDecisionAtMs >= MAX_DECISION_INTERVAL_MS;
    return due && term.evacuationsKnown && !firstReports.shouldWait(monotonicMs);
  }

  /** Runs one scheduling pass and executes its decisions. */
  public void decide(long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    decide();
    term.flush();
  }

  /**
   * Drops the log records of jobs that have been known to have ended for longer than the retention
   * time.
   */
  public void dropExpiredJobs(JobTable table, EndedJobs endedJobs, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (term.nowMs - lastSweepAtMs < RETENTION_SWEEP_INTERVAL_MS) {
      return;
    }
    lastSweepAtMs = term.nowMs;
    endedJobs.olderThan(term.settings.retentionMs(), term.nowMs).stream()
        .flatMap(id -> table.record(id).stream())
        .filter(record -> record.end().isPresent() || record.isWithoutJob())
        .filter(record -> record.groups().isEmpty())
        .limit(MAX_JOBS_DROPPED_PER_SWEEP)
        .forEach(record -> drop(record, endedJobs));
    term.flush();
  }

  // The identifier may be submitted anew from now on, so it is dropped once only.
  private void drop(JobRecord record, EndedJobs endedJobs) {
    endedJobs.remove(record.id());
    term.endedJobs.remove(record.id());
    String reason =
        record
            .end()
            .map(end -> "ended " + (term.wallMs - end.endedAtMs()) + " ms ago by the time of day")
            .orElse("cancelled and never accepted");
    term.logEvent(RunEvent.Kind.JOB_DROPPED, record.id(), "", reason);
    term.pendingEntries.add(LogEntry.tombstone(LogKey.job(record.id())));
    term.pendingEntries.add(LogEntry.tombstone(LogKey.cancel(record.id())));
    term.pendingEntries.add(LogEntry.tombstone(LogKey.end(record.id())));
  }

  private void logFirstDecision() {
    if (!firstDecisionLogged) {
      firstDecisionLogged = true;
      List<WorkerRecord> all = term.workers.all();
      long usable = all.stream().filter(WorkerRecord::usable).count();
      term.logEvent(
          RunEvent.Kind.FIRST_DECISION, "", "", usable + " of " + all.size() + " workers");
    }
  }

  private void decide() {
    logFirstDecision();
    term.dirty = false;
    term.refreshDescriptions();
    lastDecisionAtMs = term.nowMs;
    hostSpeedUpdater.applyChanges();
    runTimeRatioUpdater.ifPresent(RunTimeRatioUpdater::applyChanges);
    decisionExecutor.execute(term.scheduler.decide(term.nowMs));
    term.replacePlacedGroups();
    term.dirty |= term.scheduler.passIncomplete();
  }

  /**
   * Processes the report of a worker.
   *
   * @param requestedAtMs when the report was requested, milliseconds of the monotonic clock
   */
  public void onReport(
      String worker, WorkerInventory report, long requestedAtMs, long monotonicMs, long wallMs) {
    term.setTime(monotonicMs, wallMs);
    if (!isSuperseded(worker)) {
      reports.onReport(worker, report, requestedAtMs);
    }
  }
}
