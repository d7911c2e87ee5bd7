package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.Histogram;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.decision.EndedJobs;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.LeaseStops;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.StopCommand;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogWriter;
import org.wheatwall.entry.batch.permit.PermitRequestQueue;
import org.wheatwall.entry.batch.worker.WorkerDirectory;
import org.wheatwall.entry.batch.worker.WorkerPoller;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * One term of this host as decider: carries out the effects that the run supervisor requests. After
 * {@link #end} it sends no more commands and its callbacks do nothing.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class BatchDecider
    implements RunEffects,
        WorkerDirectory.Listener,
        WorkerPoller.Listener,
        WorkerCommands.Term,
        PermitRequestQueue.Listener {
  // Reports and renewals wait while a scheduling pass runs.
  private static final int LONG_PASS_MS = 250;

  // Renewals are sent 0.5 to 0.6 s after the previous record, and a term may be abandoned 1.2 s
  // after that.
  private static final int LOG_UNRESPONSIVE_MS = 600;

  /** Name under which deciders append; the store rejects appends of all terms but the latest. */
  static final String PRODUCER = "decider";

  private final BatchContext context;
  private final TermRule rule;
  private final long term;
  private final LogWriter writer;
  private final RunSupervisor supervisor;
  private final WorkerPoller poller;
  private final WorkerCommands commands;
  private final PermitRequestQueue permitRequests;
  private final Runnable onLost;
  private final SchedulingPassThrottle passThrottle = new SchedulingPassThrottle();
  private final Histogram passMs;
  private final ZoneEvacuations evacuations;
  private Optional<Set<String>> appliedEvacuations = Optional.of(Set.of());
  private long progressedAtMs;
  private boolean wakeUpScheduled;
  private long skippedMs;
  private boolean ended;

  /**
   * Creates the decider of a term that this host has won.
   *
   * @param firstSequence sequence number of the first append after the claim
   * @param overlapMs how much longer the previous decider may send commands, milliseconds
   * @param runTimes run times on workers, as learned from the log
   * @param onLost run when the store or a worker has rejected the term
   */
  BatchDecider(
      BatchSettings settings,
      BatchContext context,
      BatchPorts ports,
      TermRule rule,
      long firstSequence,
      long overlapMs,
      RunTimeTracker runTimes,
      Runnable onLost) {
    this.context = context;
    this.rule = rule;
    this.term = rule.term();
    this.skippedMs = context.clock().skippedMs();
    this.progressedAtMs = context.clock().nowMs();
    this.onLost = onLost;
    this.passMs = context.metrics().histogram("batch.look-ms");
    this.writer =
        new LogWriter(
            ports.log(),
            PRODUCER,
            term,
            firstSequence,
            context.loop()::executeUrgent,
            context.timer(),
            context.clock(),
            rule::onConfirmed);
    this.supervisor =
        new RunSupervisor(
            SupervisorSettings.of(settings.leaseMs(), settings.retentionMs()),
            BatchScheduling.settings(settings.mechanisms(), settings.features()),
            this,
            term,
            context.clock().nowMs(),
            overlapMs,
            runTimes);
    this.supervisor.scheduler().setPolicies(Map.of("batch", BatchScheduling.POLICY));
    this.poller =
        new WorkerPoller(
            ports.workers(),
            supervisor,
            term,
            settings.leaseMs(),
            settings.mechanisms().isEnabled(Mechanism.LATE_WORKERS),
            context.loop(),
            context.timer(),
            context.clock(),
            this);
    this.evacuations = ports.evacuations();
    this.commands = new WorkerCommands(context, ports.workers(), poller, supervisor, this);
    this.permitRequests =
        new PermitRequestQueue(
            ports.permits(), context.loop(), context.timer(), context.clock(), this);
  }

  /** Adopts the state that was read from the job log. */
  void begin(JobTable table, LeaseStops leaseStops) {
    updateEvacuations();
    supervisor.adopt(table, leaseStops, context.clock().nowMs(), context.clock().wallMs());
  }

  RunSupervisor supervisor() {
    return supervisor;
  }

  void setRules(SchedulingRules rules) {
    supervisor.setRules(rules, context.clock().nowMs());
  }

  /** Applies the evacuations that this host knows now. */
  void updateEvacuations() {
    Optional<Set<String>> next = evacuations.current();
    if (!next.equals(appliedEvacuations)) {
      appliedEvacuations = next;
      supervisor.setEvacuatedZones(next, context.clock().nowMs());
      context
          .decisions()
          .log(
              "evacuations-applied",
              field("term", term),
              field("zones", next.map(Set::toString).orElse("not known")));
    }
  }

  /** Returns when the periodic work was last done, or a step of taking the term over. */
  long progressedAtMs() {
    return progressedAtMs;
  }

  boolean isWriterIdle() {
    return writer.isIdle();
  }

  /** Returns whether an append has been waiting for the log's response for too long. */
  boolean isLogUnresponsive() {
    return writer.isStalledFor(LOG_UNRESPONSIVE_MS);
  }

  /** Appends a record of the term itself. */
  CompletableFuture<Void> write(LogEntry entry) {
    return append(List.of(entry));
  }

  /** Resends unacknowledged records at once, now that the log responds again. */
  void logRecovered() {
    writer.resend();
  }

  void accept(BatchJob job) {
    supervisor.accept(job, context.clock().nowMs(), context.clock().wallMs());
    decideSoon();
  }

  /** Writes the definition of a job again that a later one hides from new readers. */
  void rewrite(LogContent.Definition definition) {
    String id = definition.job().id();
    context.decisions().log("definition-rewritten", field("job", id), field("term", term));
    append(List.of(LogEntry.of(LogKey.job(id), definition)));
  }

  void cancel(String jobId) {
    supervisor.cancel(jobId, context.clock().nowMs(), context.clock().wallMs());
  }

  /**
   * Performs the periodic work that is due.
   *
   * @param dueMs when this call was due, milliseconds on the monotonic clock
   */
  void tick(JobTable table, EndedJobs endedJobs, long dueMs) {
    progressedAtMs = context.clock().nowMs();
    if (ended || !mayAct()) {
      return;
    }
    updateEvacuations();
    supervisor.tick(context.clock().nowMs(), context.clock().wallMs());
    supervisor.dropExpiredJobs(table, endedJobs, context.clock().nowMs(), context.clock().wallMs());
    poller.tick(dueMs);
    decideSoon();
  }

  /** Stops sending commands; pending appends still complete. */
  void stopCommands() {
    ended = true;
  }

  /** Ends the term on this host and fails its pending appends. */
  void end(String reason) {
    ended = true;
    permitRequests.close();
    writer.close(reason);
  }

  @Override
  public boolean mayAct() {
    if (ended) {
      return false;
    }
    checkForSuspension();
    return rule.term() == term && rule.mayAct(context.clock().leaseTimeMs());
  }

  // The estimated worker clocks and the remaining validity of permits depend on a clock that
  // stops while the machine is suspended, so neither is valid afterwards.
  private void checkForSuspension() {
    long skipped = context.clock().skippedMs();
    if (skipped != skippedMs) {
      skippedMs = skipped;
      context.decisions().log("term-unconfirmed", field("term", term), field("cause", "clocks"));
      poller.invalidateClocks();
      supervisor.invalidateClocks(context.clock().nowMs());
      supervisor.expirePermits();
      updateEvacuations();
    }
  }

  @Override
  public void onFenced(String worker) {
    if (!ended) {
      context.decisions().log("order-fenced", field("worker", worker), field("term", term));
      onLost.run();
    }
  }

  @Override
  public void appendToLog(List<LogEntry> entries, Runnable onAcknowledged) {
    append(entries).thenRun(() -> runIfNotEnded(onAcknowledged));
  }

  private void runIfNotEnded(Runnable onAcknowledged) {
    if (!ended) {
      LoopCallbacks.run(context.loop(), onAcknowledged);
    }
  }

  // An empty list completes after the records before it.
  private CompletableFuture<Void> append(List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return writer.appendedSoFar();
    }
    List<KeyedRecord> records =
        entries.stream()
            .map(entry -> new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry)))
            .toList();
    return writer
        .appendInParts(records, Long.MAX_VALUE)
        .whenComplete((done, failure) -> onWriteDone(failure));
  }

  private void onWriteDone(Throwable failure) {
    if (failure != null && !ended) {
      context.decisions().log("write-refused", field("term", term), field("cause", failure));
      onLost.run();
    }
  }

  @Override
  public void onLongWork() {
    progressedAtMs = context.clock().nowMs();
    context.loop().runUrgentTasks();
  }

  @Override
  public void sendStart(StartCommand command) {
    // This host may have been frozen since the run was planned.
    updateEvacuations();
    commands.start(command);
  }

  @Override
  public void sendStop(StopCommand command) {
    commands.stop(command);
  }

  @Override
  public void requestReport(String worker) {
    poller.pollSoon(worker);
  }

  @Override
  public void requestPermits(PermitRequest request) {
    permitRequests.submit(request);
  }

  @Override
  public void onPermitResponse(
      PermitRequest request, Optional<PermitResponse> response, long sentMs) {
    supervisor.onPermits(request, response, sentMs, context.clock().nowMs());
    decideSoon();
  }

  @Override
  public void onPermitFailure(PermitRequest request, String cause) {
    context
        .decisions()
        .log(
            "permits-unanswered",
            field("job", request.step().jobId()),
            field("workers", request.workers().size()),
            field("cause", cause));
  }

  @Override
  public void logDecision(RunEvent event) {
    context.metrics().counter("decided." + event.kind().name().toLowerCase(Locale.ROOT)).inc();
    context
        .decisions()
        .log(
            event.kind().toString(),
            field("job", event.jobId()),
            field("subject", event.subject()),
            field("reason", event.reason()),
            field("term", term));
  }

  @Override
  public void onWorkerListed(WorkerInfo worker) {
    if (!ended) {
      supervisor.listWorker(worker, context.clock().nowMs());
      decideSoon();
      // A new decider lists all workers in one task.
      onLongWork();
    }
  }

  @Override
  public void onWorkerUnlisted(String worker) {
    if (!ended) {
      supervisor.unlistWorker(worker, context.clock().nowMs());
    }
  }

  @Override
  public void onAddressConflict(String worker) {
    if (!ended) {
      poller.pollSoon(worker);
    }
  }

  @Override
  public void onReport() {
    decideSoon();
  }

  @Override
  public long number() {
    return term;
  }

  @Override
  public boolean ended() {
    return ended;
  }

  @Override
  public void onResponse() {
    decideSoon();
  }

  private void decideSoon() {
    long nowMs = context.clock().nowMs();
    if (!mayAct() || !supervisor.isDecisionDue(nowMs)) {
      return;
    }
    long waitMs = passThrottle.waitMs(nowMs);
    if (waitMs <= 0) {
      supervisor.decide(nowMs, context.clock().wallMs());
      recordPass(nowMs, context.clock().nowMs());
    } else if (!wakeUpScheduled) {
      wakeUpScheduled = true;
      context.timer().after(waitMs, this::wakeUp);
    }
  }

  private void recordPass(long beganMs, long endedMs) {
    passThrottle.recordPass(beganMs, endedMs);
    long tookMs = endedMs - beganMs;
    passMs.update(tookMs);
    if (tookMs >= LONG_PASS_MS) {
      context
          .decisions()
          .log(
              "look-was-long",
              field("tookMs", tookMs),
              field("waiting", supervisor.scheduler().waiting().size()),
              field("term", term));
    }
  }

  private void wakeUp() {
    wakeUpScheduled = false;
    decideSoon();
  }
}
