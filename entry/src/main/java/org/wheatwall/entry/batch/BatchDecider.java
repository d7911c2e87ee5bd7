package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.Histogram;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.RunEffects;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.RunSupervisor;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.PermitAnswer;
import org.wheatwall.core.batch.model.PermitQuestion;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.StopOrder;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.job.decision.HostPaces;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogWriter;
import org.wheatwall.entry.batch.permit.PermitDesk;
import org.wheatwall.entry.batch.worker.WorkerDirectory;
import org.wheatwall.entry.batch.worker.WorkerWatch;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * One term of this host as decider: carries out what the supervisor of runs wants done. After
 * {@link #end} it gives no more orders and its callbacks do nothing.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class BatchDecider
    implements RunEffects,
        WorkerDirectory.Listener,
        WorkerWatch.Listener,
        WorkerOrders.Term,
        PermitDesk.Listener {
  // Reports and renewals wait behind a look at the queue.
  private static final int LONG_LOOK_MS = 250;

  // A renewal goes out 0.5 to 0.6 s after the record before it, and a term may be given up 1.2 s
  // after that.
  private static final int LOG_SILENT_MS = 600;

  /** Name under which deciders append; the store refuses all but the latest term's. */
  static final String PRODUCER = "decider";

  private final BatchTools tools;
  private final TermRule rule;
  private final long term;
  private final LogWriter writer;
  private final RunSupervisor supervisor;
  private final WorkerWatch watch;
  private final WorkerOrders orders;
  private final PermitDesk permits;
  private final Runnable onLost;
  private final DecisionPace pace = new DecisionPace();
  private final Histogram lookMs;
  private boolean wakeIsSet;
  private long skippedMs;
  private boolean ended;

  /**
   * Creates the decider of a term that this host has won.
   *
   * @param firstSequence number of the first call after the claim
   * @param overlapMs how much longer the decider before may give orders, milliseconds
   * @param paces how fast workers are, as learned from the log
   * @param onLost run when the store or a worker has refused the term
   */
  BatchDecider(
      BatchSettings settings,
      BatchTools tools,
      BatchPorts ports,
      TermRule rule,
      long firstSequence,
      long overlapMs,
      HostPaces paces,
      Runnable onLost) {
    this.tools = tools;
    this.rule = rule;
    this.term = rule.term();
    this.skippedMs = tools.clock().skippedMs();
    this.onLost = onLost;
    this.lookMs = tools.metrics().histogram("batch.look-ms");
    this.writer =
        new LogWriter(
            ports.log(),
            PRODUCER,
            term,
            firstSequence,
            tools.loop(),
            tools.timer(),
            tools.clock(),
            rule::confirmed);
    this.supervisor =
        new RunSupervisor(
            SupervisorSettings.of(settings.leaseMs(), settings.retentionMs()),
            BatchScheduling.settings(settings.mechanisms()),
            this,
            term,
            tools.clock().nowMs(),
            overlapMs,
            paces);
    this.supervisor.scheduler().setPolicies(Map.of("batch", BatchScheduling.POLICY));
    this.watch =
        new WorkerWatch(
            ports.workers(),
            supervisor,
            term,
            settings.leaseMs(),
            settings.mechanisms().on(Mechanism.LATE_WORKERS),
            tools.loop(),
            tools.timer(),
            tools.clock(),
            this);
    this.orders = new WorkerOrders(tools, ports.workers(), watch, supervisor, this);
    this.permits =
        new PermitDesk(ports.permits(), tools.loop(), tools.timer(), tools.clock(), this);
  }

  /** Takes over what the log says. */
  void begin(JobTable table) {
    supervisor.adopt(table, tools.clock().nowMs(), tools.clock().wallMs());
  }

  RunSupervisor supervisor() {
    return supervisor;
  }

  void setRules(SchedulingRules rules) {
    supervisor.setRules(rules, tools.clock().nowMs());
  }

  boolean writerIdle() {
    return writer.idle();
  }

  /** Returns whether the log has not answered this decider for some time, though it was called. */
  boolean logSilent() {
    return writer.waitsFor(LOG_SILENT_MS);
  }

  /** Writes a record of the term itself. */
  CompletableFuture<Void> write(LogEntry entry) {
    return append(List.of(entry));
  }

  /** Writes at once what the log has not acknowledged, now that it answers again. */
  void logRegained() {
    writer.resend();
  }

  void accept(BatchJob job) {
    supervisor.accept(job, tools.clock().nowMs(), tools.clock().wallMs());
    decideSoon();
  }

  void cancel(String jobId) {
    supervisor.cancel(jobId, tools.clock().nowMs(), tools.clock().wallMs());
  }

  /**
   * Does what time brings.
   *
   * @param dueMs when this call was due
   */
  void tick(JobTable table, long dueMs) {
    if (ended || !mayAct()) {
      return;
    }
    supervisor.tick(tools.clock().nowMs(), tools.clock().wallMs());
    supervisor.forgetEnded(table, tools.clock().nowMs(), tools.clock().wallMs());
    watch.tick(dueMs);
    decideSoon();
  }

  /** Gives no more orders; what was to be written still is. */
  void stopOrders() {
    ended = true;
  }

  /** Ends the term here. */
  void end(String reason) {
    ended = true;
    permits.close();
    writer.close(reason);
  }

  @Override
  public boolean mayAct() {
    if (ended) {
      return false;
    }
    takeNoteOfSuspension();
    return rule.term() == term && rule.mayAct(tools.clock().limitMs());
  }

  // Workers' clocks were carried forward, and permits counted down, by a clock that stood still.
  private void takeNoteOfSuspension() {
    long skipped = tools.clock().skippedMs();
    if (skipped != skippedMs) {
      skippedMs = skipped;
      tools.decisions().note("term-unconfirmed", field("term", term), field("cause", "clocks"));
      watch.forgetClocks();
      supervisor.lapsePermits();
    }
  }

  @Override
  public void fenced(String worker) {
    if (!ended) {
      tools.decisions().note("order-fenced", field("worker", worker), field("term", term));
      onLost.run();
    }
  }

  @Override
  public void keep(List<LogEntry> entries, Runnable whenKept) {
    append(entries).thenRun(() -> runKept(whenKept));
  }

  private void runKept(Runnable whenKept) {
    if (!ended) {
      LoopCallbacks.run(tools.loop(), whenKept);
    }
  }

  // An empty list waits for the records before it.
  private CompletableFuture<Void> append(List<LogEntry> entries) {
    if (entries.isEmpty() && writer.idle()) {
      return CompletableFuture.completedFuture(null);
    }
    List<KeyedRecord> records =
        entries.stream()
            .map(entry -> new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry)))
            .toList();
    return writer.append(records, Long.MAX_VALUE).whenComplete((done, failure) -> written(failure));
  }

  private void written(Throwable failure) {
    if (failure != null && !ended) {
      tools.decisions().note("write-refused", field("term", term), field("cause", failure));
      onLost.run();
    }
  }

  @Override
  public void start(StartOrder order) {
    orders.start(order);
  }

  @Override
  public void stop(StopOrder order) {
    orders.stop(order);
  }

  @Override
  public void look(String worker) {
    watch.look(worker);
  }

  @Override
  public void askPermits(PermitQuestion question) {
    permits.ask(question);
  }

  @Override
  public void permitsAnswered(
      PermitQuestion question, Optional<PermitAnswer> answer, long askedMs) {
    supervisor.onPermits(question, answer, askedMs, tools.clock().nowMs());
    decideSoon();
  }

  @Override
  public void permitsFailed(PermitQuestion question, String cause) {
    tools
        .decisions()
        .note(
            "permits-unanswered",
            field("job", question.step().jobId()),
            field("workers", question.workers().size()),
            field("cause", cause));
  }

  @Override
  public void decided(RunEvent event) {
    tools.metrics().counter("decided." + event.kind().name().toLowerCase(Locale.ROOT)).inc();
    tools
        .decisions()
        .note(
            event.kind().toString(),
            field("job", event.jobId()),
            field("subject", event.subject()),
            field("reason", event.reason()),
            field("term", term));
  }

  @Override
  public void listed(WorkerInfo worker) {
    if (!ended) {
      supervisor.listWorker(worker, tools.clock().nowMs());
      decideSoon();
    }
  }

  @Override
  public void unlisted(String worker) {
    if (!ended) {
      supervisor.unlistWorker(worker, tools.clock().nowMs());
    }
  }

  @Override
  public void contested(String worker) {
    if (!ended) {
      watch.look(worker);
    }
  }

  @Override
  public void reported() {
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
  public void answered() {
    decideSoon();
  }

  private void decideSoon() {
    long nowMs = tools.clock().nowMs();
    if (!mayAct() || !supervisor.wantsDecision(nowMs)) {
      return;
    }
    long waitMs = pace.waitMs(nowMs);
    if (waitMs <= 0) {
      supervisor.decide(nowMs, tools.clock().wallMs());
      looked(nowMs, tools.clock().nowMs());
    } else if (!wakeIsSet) {
      wakeIsSet = true;
      tools.timer().after(waitMs, this::wake);
    }
  }

  private void looked(long beganMs, long endedMs) {
    pace.looked(beganMs, endedMs);
    long tookMs = endedMs - beganMs;
    lookMs.update(tookMs);
    if (tookMs >= LONG_LOOK_MS) {
      tools
          .decisions()
          .note(
              "look-was-long",
              field("tookMs", tookMs),
              field("waiting", supervisor.scheduler().waiting().size()),
              field("term", term));
    }
  }

  private void wake() {
    wakeIsSet = false;
    decideSoon();
  }
}
