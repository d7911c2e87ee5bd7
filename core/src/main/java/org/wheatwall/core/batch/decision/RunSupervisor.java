package org.wheatwall.core.batch.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.batch.model.WorkerLife;
import org.wheatwall.core.common.Names;
import org.wheatwall.core.job.decision.HostPaces;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Objective;

/**
 * Decides for one term which groups of tasks start where, and follows every run to its end.
 *
 * <p>Rules kept here: a run is written down before any order for it goes out; the next run of a
 * group starts only once no task of the run before it runs or can start any more; an end is written
 * down before its worker is told to forget it; what is done stays done.
 *
 * <p>Pure: time is passed in, and all that it wants done goes through {@link RunEffects}. Not
 * thread-safe; the decision loop owns it. One instance serves one term.
 */
public final class RunSupervisor {
  private static final int DECIDE_AT_LEAST_EVERY_MS = 250;
  private static final int RETENTION_SWEEP_MS = 5000;
  private static final int FORGOTTEN_AT_ONCE = 50;

  private final TermState term;
  private final RunLifecycle lifecycle;
  private final WorkerReports reports;
  private final WorkerRestarts restarts;
  private final UnansweredStarts unanswered;
  private final FirstReports firstReports;
  private final WorkerPaces paces;
  private final ReachRule reach;
  private final PendingStarts pending;
  private final QueueDecisions decisions;
  private long decidedAtMs;
  private boolean decided;
  private long sweptAtMs;

  /**
   * Creates a supervisor for a term that starts now, with nothing learned before it.
   *
   * @param number number of the term, part of the identifiers of attempts
   * @param overlapMs how much longer the decider before may give orders, milliseconds
   */
  public RunSupervisor(
      SupervisorSettings settings,
      SchedulerSettings scheduling,
      RunEffects effects,
      long number,
      long startMs,
      long overlapMs) {
    this(settings, scheduling, effects, number, startMs, overlapMs, new HostPaces());
  }

  /**
   * Creates a supervisor for a term that starts now.
   *
   * @param number number of the term, part of the identifiers of attempts
   * @param overlapMs how much longer the decider before may give orders, milliseconds
   * @param paces how fast workers are, as learned before this term; this supervisor alone takes
   *     changes from it while the term lasts
   */
  public RunSupervisor(
      SupervisorSettings settings,
      SchedulerSettings scheduling,
      RunEffects effects,
      long number,
      long startMs,
      long overlapMs,
      HostPaces paces) {
    Scheduler scheduler = new Scheduler(scheduling);
    scheduler.setAttemptPrefix("t" + number);
    this.term = new TermState(settings, effects, scheduler, startMs, startMs + overlapMs);
    this.lifecycle = new RunLifecycle(term);
    this.paces = new WorkerPaces(term, paces, scheduling.mechanisms());
    this.reports = new WorkerReports(term, lifecycle, scheduling.mechanisms());
    this.unanswered = new UnansweredStarts(term);
    this.restarts = new WorkerRestarts(term, lifecycle, unanswered);
    this.firstReports = new FirstReports(term.workers, startMs);
    this.reach = new ReachRule(term);
    this.pending = new PendingStarts(term, lifecycle);
    this.decisions = new QueueDecisions(term, lifecycle, pending);
    this.sweptAtMs = startMs;
  }

  /** Returns the scheduler, to set policies and to read figures. */
  public Scheduler scheduler() {
    return term.scheduler;
  }

  /** Takes in what the operator's configuration says. */
  public void setRules(SchedulingRules rules, long steadyMs) {
    term.nowMs = steadyMs;
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
   * Takes in which workers may run a step.
   *
   * @param answer empty if the question was not answered
   * @param askedMs when the question went out
   */
  public void onPermits(
      PermitQuestion question, Optional<PermitAnswer> answer, long askedMs, long steadyMs) {
    term.nowMs = steadyMs;
    term.permits.onAnswer(question, answer, askedMs);
  }

  /** Takes every permit for lapsed, as it is not known how long each has been held. */
  public void lapsePermits() {
    term.permits.lapseAll();
  }

  /** Takes over what the log says. Call once, before anything else. */
  public void adopt(JobTable table, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    new TermTakeOver(term, lifecycle).takeOver(table);
    term.flush();
  }

  /** Takes in a job that was accepted. */
  public void accept(BatchJob job, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (!term.jobs.containsKey(job.id()) && !term.endedJobs.contains(job.id())) {
      JobRuns progress = term.progressOf(job);
      term.submitReady(progress);
    }
  }

  /** Ends a job because its submitter asked for it. */
  public void cancel(String jobId, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    JobRuns progress = term.jobs.get(jobId);
    if (progress != null && !progress.closed()) {
      lifecycle.endJob(progress, BatchState.CANCELLED, "the submitter cancelled it");
      term.flush();
    }
  }

  /**
   * Takes in an entry of the platform's list of workers. One of a life that is over is passed over.
   */
  public void listWorker(WorkerInfo info, long steadyMs) {
    term.nowMs = steadyMs;
    Optional<WorkerLife> latest = term.workers.lives().latest(info.life().id());
    if (info.life().bornMs().isEmpty() && latest.isPresent()) {
      list(info.in(latest.get()));
    } else if (!term.workers.lives().isOver(info.id())) {
      list(info);
    }
  }

  private void list(WorkerInfo info) {
    boolean fresh = term.workers.list(info);
    restarts.endLivesBefore(info.id());
    if (fresh) {
      term.note(RunEvent.Kind.WORKER_LISTED, "", info.id(), "rack " + info.rack());
      term.effects.look(info.id());
    }
    paces.listed(info.id());
    term.dirty = true;
    term.flush();
  }

  /** Notes that a later life of a worker has answered in place of the one that was asked. */
  public void workerRestarted(String worker, long bornMs, long steadyMs) {
    WorkerLife later = WorkerLife.bornAt(WorkerLife.parse(worker).id(), bornMs);
    workerInfo(worker).ifPresent(info -> listWorker(info.in(later), steadyMs));
  }

  /** Returns whether a later life of a worker is known. */
  public boolean isOver(String worker) {
    return term.workers.lives().isOver(worker);
  }

  /** Notes that the platform lists a worker no longer. */
  public void unlistWorker(String id, long steadyMs) {
    term.nowMs = steadyMs;
    String listed =
        term.workers.lives().latest(WorkerLife.parse(id).id()).map(WorkerLife::name).orElse(id);
    if (term.workers.unlist(listed, steadyMs)) {
      term.note(RunEvent.Kind.WORKER_UNLISTED, "", listed, "its entry is gone");
      term.forgetIfIdle(listed);
    }
  }

  /** Notes that an order was sent that extends the leases of a worker. */
  public void leased(String worker, long steadyMs) {
    term.workers.record(worker).leased(steadyMs);
  }

  /** Notes that a call to a worker was not answered. */
  public void notAnswered(String worker, long steadyMs) {
    term.nowMs = steadyMs;
    term.notAnswered(worker);
  }

  /** Notes that a worker does not answer. */
  public void unreachable(String worker, String reason, long steadyMs) {
    term.nowMs = steadyMs;
    term.unreachable(worker, reason);
  }

  /** Notes that a life of a worker is over: nothing runs there and nothing can start. */
  public void workerGone(String worker, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (isOver(worker)) {
      return;
    }
    lifecycle.workerGone(worker);
    term.flush();
  }

  /**
   * Returns whether a worker has to be asked again: it may run something, or reports ends or runs.
   */
  public boolean needsReports(String worker) {
    return term.runs.isUsed(worker)
        || reports.leftToAcknowledge(worker)
        || reports.runsUnknown(worker);
  }

  /**
   * Returns whether ends of a worker are being written down. Until they are, it lists them in each
   * report, at once, whatever time the report may take.
   */
  public boolean awaitsLog(String worker) {
    return reports.leftToAcknowledge(worker);
  }

  /** Returns the listed workers that were not heard, or do not answer any more. */
  public List<String> silentWorkers() {
    return term.workers.all().stream().filter(WorkerRecord::silent).map(WorkerRecord::id).toList();
  }

  /** Returns the workers of an availability zone to which new work may go. */
  public List<String> usableWorkersIn(String zone) {
    return term.workers.all().stream()
        .filter(WorkerRecord::usable)
        .filter(record -> record.info().filter(info -> info.zone().equals(zone)).isPresent())
        .map(WorkerRecord::id)
        .toList();
  }

  /** Returns where a worker takes orders. */
  public Optional<WorkerInfo> workerInfo(String worker) {
    return term.workers.find(worker).flatMap(WorkerRecord::info);
  }

  /** Returns the workers on which something runs or may run. */
  public Set<String> workersInUse() {
    return new HashSet<>(term.runs.workers());
  }

  /** Returns the highest number of an end of {@code worker} that is written down. */
  public long acknowledged(String worker) {
    return term.workers.find(worker).map(WorkerRecord::acknowledged).orElse(0L);
  }

  /** Returns the runs under way, by group. */
  public Set<GroupKey> running() {
    return Set.copyOf(term.runs.groups());
  }

  /** Returns, for each group of a job that waits or runs, what it waits for or where it runs. */
  public List<String> explain(String jobId) {
    return new RunExplainer(term).explain(jobId);
  }

  /** Takes in the answer to a start. */
  public void onStartAnswer(StartOrder order, OrderAnswer answer, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (answer == OrderAnswer.UNKNOWN) {
      unanswered.add(order);
    }
    Optional<GroupRun> found = term.runOf(order.task(), order.run());
    if (answer == OrderAnswer.WORKER_GONE) {
      workerGone(order.worker(), steadyMs, dayMs);
    } else if (found.isPresent()) {
      GroupRun run = found.get();
      MemberRun member = run.member(order.task());
      if (member.worker().equals(order.worker()) && !member.ended()) {
        lifecycle.startAnswered(run, member, answer);
      }
    }
    term.flush();
  }

  /** Takes in the answer to a stop. */
  public void onStopAnswer(StopOrder order, OrderAnswer answer, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (answer == OrderAnswer.WORKER_GONE) {
      workerGone(order.worker(), steadyMs, dayMs);
      return;
    }
    boolean stopped = answer == OrderAnswer.DONE || answer == OrderAnswer.OLD_RUN;
    if (!stopped) {
      return;
    }
    unanswered.acknowledged(order);
    term.runOf(order.task(), order.run())
        .map(run -> run.member(order.task()))
        .filter(member -> member.worker().equals(order.worker()))
        .ifPresent(member -> member.stopAcknowledged(term.nowMs));
    term.effects.look(order.worker());
  }

  /** Does what time brings: due times, repeats and lapsed leases. */
  public void tick(long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    for (JobRuns progress : List.copyOf(term.recurring)) {
      term.submitReady(progress);
    }
    lifecycle.endLapsed();
    term.dirty |= term.workers.endDelays(steadyMs);
    reports.tick();
    lifecycle.repeatOrders();
    pending.tick();
    reach.tick();
    unanswered.tick();
    term.permits.tick();
    term.waits.tick();
    term.flush();
  }

  /** Returns whether work waits and most workers have been silent for some time. */
  public boolean reachesTooFew() {
    return reach.reachesTooFew();
  }

  /** Returns how many groups wait, as of the last second. */
  public WaitSummary waits() {
    return term.waits.summary();
  }

  /** Returns whether the queue is to be looked at: something changed, or it is time to. */
  public boolean wantsDecision(long steadyMs) {
    boolean due = term.dirty || steadyMs - decidedAtMs >= DECIDE_AT_LEAST_EVERY_MS;
    return due && !firstReports.awaited(steadyMs);
  }

  /** Looks at the queue once, and starts and stops what comes of it. */
  public void decide(long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    decide();
    term.flush();
  }

  /** Drops the records of jobs that ended long ago. */
  public void forgetEnded(JobTable table, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (term.nowMs - sweptAtMs < RETENTION_SWEEP_MS) {
      return;
    }
    sweptAtMs = term.nowMs;
    int forgotten = 0;
    for (JobRecord record : table.jobs()) {
      boolean old =
          record
              .end()
              .filter(end -> term.wallMs - end.endedAtMs() > term.settings.retentionMs())
              .isPresent();
      if (old && record.groups().isEmpty() && forgotten < FORGOTTEN_AT_ONCE) {
        forgotten++;
        term.outgoing.add(LogEntry.drop(LogKey.job(record.id())));
        term.outgoing.add(LogEntry.drop(LogKey.cancel(record.id())));
        term.outgoing.add(LogEntry.drop(LogKey.end(record.id())));
      }
    }
    term.flush();
  }

  private void noteFirstDecision() {
    if (!decided) {
      decided = true;
      List<WorkerRecord> all = term.workers.all();
      long heard = all.stream().filter(WorkerRecord::usable).count();
      term.note(RunEvent.Kind.FIRST_DECISION, "", "", heard + " of " + all.size() + " workers");
    }
  }

  private void decide() {
    noteFirstDecision();
    term.dirty = false;
    term.describeWhatChanged();
    decidedAtMs = term.nowMs;
    paces.takeChanges();
    decisions.carryOut(term.scheduler.decide(term.nowMs));
    term.dirty |= term.scheduler.leftOff();
  }

  /**
   * Takes in the report of a worker.
   *
   * @param askedMs when the report was asked for
   */
  public void onReport(
      String worker, WorkerInventory report, long askedMs, long steadyMs, long dayMs) {
    term.at(steadyMs, dayMs);
    if (!isOver(worker)) {
      reports.onReport(worker, report, askedMs);
    }
  }
}
