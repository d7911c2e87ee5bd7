package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.RefusalKind;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.log.LogWriter;
import org.wheatwall.entry.batch.worker.WorkerDirectory;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * The batch plane of an entry host: accepts jobs into the job log, answers from its replica of that
 * log, and decides for all hosts while it holds the term.
 *
 * <p>Everything runs on the decision loop; the public methods may be called on any thread.
 */
public final class BatchHost {
  // A decider looks at repeats and due times this often; other hosts have little to look at, and
  // each
  // wake-up costs.
  private static final int DECIDER_TICK_MS = 100;
  private static final int TICK_MS = 250;
  private static final int STALE_AFTER_MS = 3000;
  // Longer than an append takes at a store that is 60 times slower than usual; a caller that is
  // answered
  // after this time can still be served by another host.
  private static final int GIVE_UP_MS = 900;
  private static final int RELEASE_LIMIT_MS = 1000;

  private final BatchSettings settings;
  private final Tools tools;
  private final KeyedLog log;
  private final WorkerPort port;
  private final WorkerDirectory directory;
  private final LogFollower follower;
  private final TermRule rule;
  private final String life;
  private final long claimSequence;
  private final Map<String, CompletableFuture<Void>> accepting = new HashMap<>();
  private LogWriter intake;
  private int intakes;
  private JobTable table = new JobTable();
  private Map<String, Integer> urgentGuarantees = Map.of();
  private Optional<BatchDecider> decider = Optional.empty();
  private Optional<CompletableFuture<Void>> reading = Optional.empty();
  private Optional<CompletableFuture<Void>> nextReading = Optional.empty();
  private boolean claiming;
  private long claimSentMs;
  private boolean stopping;

  /** What the parts of the plane share. */
  record Tools(
      Executor loop, LoopTimer timer, Clock clock, DecisionLog decisions, MetricRegistry metrics) {}

  /**
   * Creates the plane; {@link #start} begins.
   *
   * @param life identifier of this process, unlike that of any other
   * @param claimSequence number of its claims at the store, positive and unlike that of any other
   */
  public BatchHost(
      BatchSettings settings,
      String life,
      long claimSequence,
      KeyedLog log,
      WorkerPort port,
      WorkerDirectory directory,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.settings = settings;
    this.life = life;
    this.claimSequence = claimSequence;
    this.log = log;
    this.port = port;
    this.directory = directory;
    this.tools = new Tools(loop, timer, clock, decisions, metrics);
    this.rule = new TermRule(settings.term(), settings.address(), life, clock.nowMs());
    this.follower = new LogFollower("jobs", log, loop, timer, clock, new Replay());
    this.intake = newIntake();
    metrics.gauge("batch.jobs.kept", () -> () -> table.jobs().size());
    metrics.gauge("batch.term.held", () -> rule::term);
    metrics.gauge("batch.log.position", () -> follower::position);
    metrics.gauge("log.lines.left-out", () -> decisions::leftOut);
  }

  /** Begins to read the job log. */
  public void start() {
    tools.loop().execute(follower::start);
    tools.timer().after(TICK_MS, this::tick);
  }

  /**
   * Accepts a job; done once it is kept for good. Fails with a {@link Refusal}: UNAVAILABLE if it
   * was not taken and never runs, UNKNOWN if that could not be found out.
   *
   * @param deadlineMs time on the steady clock by which the caller wants to know
   */
  public CompletableFuture<Void> submit(BatchJob job, long deadlineMs) {
    return onLoop(() -> submitOnLoop(job, deadlineMs));
  }

  /** Returns a job's record; empty if no such job is kept. Fails with UNAVAILABLE if unsure. */
  public CompletableFuture<Optional<JobSummary>> find(String jobId) {
    return onLoop(
        () -> {
          Optional<JobSummary> known = summary(jobId);
          return known.isPresent()
              ? CompletableFuture.completedFuture(known)
              : readToEnd().thenApply(done -> summary(jobId));
        });
  }

  /**
   * Asks for a job to be cancelled; false if no such job is kept. Fails as {@link #submit} does.
   */
  public CompletableFuture<Boolean> cancel(String jobId, long deadlineMs) {
    return find(jobId)
        .thenComposeAsync(
            found -> {
              if (found.isEmpty() || found.get().state().ended()) {
                return CompletableFuture.completedFuture(found.isPresent());
              }
              LogContent.Cancellation content = new LogContent.Cancellation(tools.clock().wallMs());
              return keep(LogEntry.of(LogKey.cancel(jobId), content), deadlineMs)
                  .thenApply(done -> true);
            },
            tools.loop());
  }

  /**
   * Returns how many jobs of a queue have not begun. Fails with UNAVAILABLE if that is not known.
   */
  public CompletableFuture<Integer> pending(String queue) {
    return onLoop(
        () -> {
          if (!fresh()) {
            throw unavailable("the job log has not been read for " + STALE_AFTER_MS + " ms");
          }
          return CompletableFuture.completedFuture(table.pending(queue));
        });
  }

  /** Returns what the parts of a job wait for or where they run; only the deciding host knows. */
  public CompletableFuture<List<String>> explain(String jobId) {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                decider.map(current -> current.supervisor().explain(jobId)).orElse(List.of())));
  }

  /** Sets how many accelerators each workspace can always have for its urgent jobs. */
  public void setUrgentGuarantees(Map<String, Integer> acceleratorsByWorkspace) {
    tools
        .loop()
        .execute(
            () -> {
              urgentGuarantees = Map.copyOf(acceleratorsByWorkspace);
              decider.ifPresent(this::passGuarantees);
            });
  }

  /** Returns whether this host can take jobs now. */
  public CompletableFuture<Boolean> ready() {
    return onLoop(() -> CompletableFuture.completedFuture(fresh() && !stopping));
  }

  /** Hands the term over, if it is held; completes when that is done, or cannot be. */
  public CompletableFuture<Void> stop() {
    return onLoop(
            () -> {
              stopping = true;
              return release();
            })
        .completeOnTimeout(null, RELEASE_LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  /** A job as its submitter sees it. */
  public record JobSummary(String workspace, BatchState state) {}

  private Optional<JobSummary> summary(String jobId) {
    return table.job(jobId).map(BatchHost::summary);
  }

  private static JobSummary summary(JobRecord record) {
    return new JobSummary(record.job().orElseThrow().workspace(), record.state());
  }

  private CompletableFuture<Void> submitOnLoop(BatchJob job, long deadlineMs) {
    if (!follower.started() || follower.failing()) {
      throw unavailable("the job log cannot be read now");
    }
    if (table.job(job.id()).isPresent()) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> known = accepting.get(job.id());
    if (known != null) {
      return known;
    }
    CompletableFuture<Void> kept =
        keep(LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)), deadlineMs);
    accepting.put(job.id(), kept);
    kept.whenComplete((done, failure) -> accepting.remove(job.id()));
    return kept;
  }

  private LogWriter newIntake() {
    String producer = "entry-" + settings.address() + "-" + life + "-" + intakes++;
    return new LogWriter(
        log, producer, 1, 0, tools.loop(), tools.timer(), tools.clock(), sentMs -> {});
  }

  private CompletableFuture<Void> keep(LogEntry entry, long deadlineMs) {
    if (intake.closed()) {
      tools.decisions().note("intake-renewed", field("intake", intakes));
      intake = newIntake();
    }
    KeyedRecord record = new KeyedRecord(entry.key().text(), JobLogCodec.value(entry));
    long giveUpMs = Math.min(deadlineMs, tools.clock().nowMs() + GIVE_UP_MS);
    return intake
        .append(List.of(record), giveUpMs)
        .exceptionally(
            failure -> {
              throw refusal(LogFailure.of(failure));
            });
  }

  private static Refusal refusal(LogFailure failure) {
    return switch (failure.kind()) {
      case NOT_DONE -> unavailable(failure.getMessage());
      default ->
          new Refusal(
              RefusalKind.UNKNOWN,
              "whether the job log has it is not known: " + failure.getMessage(),
              "repeat with the same identifier; it remains one job");
    };
  }

  private static Refusal unavailable(String detail) {
    return new Refusal(
        RefusalKind.UNAVAILABLE, detail, "repeat after the time in Retry-After, or elsewhere");
  }

  // Callers that come while a reading is under way share the one after it: only that one is sure to
  // see what was appended before they came.
  private CompletableFuture<Void> readToEnd() {
    if (reading.isEmpty()) {
      CompletableFuture<Void> now = readNow();
      reading = Optional.of(now);
      now.whenCompleteAsync((done, failure) -> readingDone(), tools.loop());
      return now;
    }
    if (nextReading.isEmpty()) {
      nextReading = Optional.of(new CompletableFuture<>());
    }
    return nextReading.get();
  }

  private CompletableFuture<Void> readNow() {
    return follower
        .catchUp()
        .exceptionally(
            failure -> {
              throw unavailable(
                  "the job log cannot be read: " + LogFailure.of(failure).getMessage());
            });
  }

  private void readingDone() {
    reading = Optional.empty();
    if (nextReading.isPresent()) {
      CompletableFuture<Void> waiting = nextReading.get();
      nextReading = Optional.empty();
      readToEnd()
          .whenComplete(
              (done, failure) -> {
                if (failure == null) {
                  waiting.complete(null);
                } else {
                  waiting.completeExceptionally(failure);
                }
              });
    }
  }

  private boolean fresh() {
    long age = tools.clock().nowMs() - follower.confirmedAtMs();
    return follower.started() && age < STALE_AFTER_MS;
  }

  private void tick() {
    tools.timer().after(decider.isPresent() ? DECIDER_TICK_MS : TICK_MS, this::tick);
    intake.expire();
    decider.ifPresent(current -> current.tick(table));
    renewIfDue();
    claimIfFree();
  }

  private void renewIfDue() {
    if (decider.isPresent() && !stopping && rule.holds() && decider.get().writerIdle()) {
      long now = tools.clock().nowMs();
      if (!rule.mayAct(now + settings.term().actMs() - settings.term().renewMs())) {
        decider.get().write(termEntry(rule.term(), false));
      }
    }
  }

  private void claimIfFree() {
    boolean readable = follower.started() && !follower.failing();
    long now = tools.clock().nowMs();
    if (stopping || claiming || !readable || !rule.mayClaim(table.term(), now)) {
      return;
    }
    claiming = true;
    follower
        .catchUp()
        .whenComplete(
            (done, failure) -> {
              if (failure != null || !rule.mayClaim(table.term(), tools.clock().nowMs())) {
                claiming = false;
                return;
              }
              claim(follower.position());
            });
  }

  // The claim is appended only if nothing was appended since this host has read, and its own offset
  // gives the number of the term; so terms rise, and a repeat of a lost claim is the same claim.
  // The
  // call's number is this process's own, or the store would take a rival's claim for such a repeat.
  private void claim(long position) {
    long sentMs = tools.clock().nowMs();
    claimSentMs = sentMs;
    LogEntry entry = termEntry(0, false);
    KeyedRecord record = new KeyedRecord(entry.key().text(), JobLogCodec.value(entry));
    log.append(
            new KeyedLog.AppendCall(
                List.of(record),
                OptionalLong.of(position),
                BatchDecider.PRODUCER,
                JobTable.termOfClaim(position),
                claimSequence))
        .whenCompleteAsync(
            (appended, failure) -> {
              claiming = false;
              if (failure == null) {
                won(JobTable.termOfClaim(appended.offset()), sentMs);
              } else {
                tools
                    .decisions()
                    .note(
                        "claim-failed",
                        field("position", position),
                        field("cause", LogFailure.of(failure).kind()));
              }
            },
            tools.loop());
  }

  private void won(long term, long sentMs) {
    if (rule.holds() || stopping || table.termNumber() > term) {
      return;
    }
    rule.won(term, sentMs);
    tools.decisions().note("term-won", field("term", term), field("jobs", table.jobs().size()));
    BatchDecider next =
        new BatchDecider(
            settings,
            tools,
            log,
            port,
            rule,
            claimSequence + 1,
            () -> lose("the term was refused"));
    decider = Optional.of(next);
    passGuarantees(next);
    next.begin(table);
    directory.open(next);
  }

  private void passGuarantees(BatchDecider current) {
    current.supervisor().scheduler().setUrgentGuarantees(urgentGuarantees);
  }

  private void lose(String reason) {
    if (decider.isEmpty()) {
      return;
    }
    tools.decisions().note("term-lost", field("term", rule.term()), field("reason", reason));
    directory.close();
    decider.get().end(reason);
    decider = Optional.empty();
    rule.lost(tools.clock().nowMs());
  }

  private CompletableFuture<Void> release() {
    if (decider.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    decider.get().stopOrders();
    return decider
        .get()
        .write(termEntry(rule.term(), true))
        .handle(
            (done, failure) -> {
              lose(failure == null ? "it was handed over" : "it could not be handed over");
              return null;
            });
  }

  private LogEntry termEntry(long term, boolean released) {
    return LogEntry.of(
        LogKey.TERM,
        new LogContent.Term(settings.host(), settings.address(), life, term, released));
  }

  private <T> CompletableFuture<T> onLoop(Supplier<CompletableFuture<T>> work) {
    return CompletableFuture.supplyAsync(work, tools.loop()).thenCompose(result -> result);
  }

  /** Takes in the job log. */
  private final class Replay implements LogFollower.Listener {
    @Override
    public void restart(List<KeyedLog.NewestRecord> newest) {
      table = new JobTable();
      for (KeyedLog.NewestRecord entry : newest) {
        decode(entry.record()).ifPresent(read -> table.apply(read, entry.offset()));
      }
      rule.sawDecider(tools.clock().nowMs());
      for (JobRecord record : List.copyOf(table.jobs())) {
        record.job().filter(job -> record.end().isEmpty()).ifPresent(this::offer);
        if (record.cancelled()) {
          decider.ifPresent(current -> current.cancel(record.id()));
        }
      }
      checkTerm();
    }

    @Override
    public void next(KeyedRecord record, long offset) {
      Optional<LogEntry> entry = decode(record);
      if (entry.isEmpty()) {
        return;
      }
      table.apply(entry.get(), offset);
      LogKey key = entry.get().key();
      if (key.kind().writtenByDecider()) {
        rule.sawDecider(tools.clock().nowMs());
      }
      switch (key.kind()) {
        case TERM -> termRead(entry.get(), offset);
        case JOB ->
            table
                .job(key.name())
                .filter(known -> known.end().isEmpty())
                .flatMap(JobRecord::job)
                .ifPresent(this::offer);
        case CANCEL -> decider.ifPresent(current -> current.cancel(key.name()));
        case END, GROUP -> {
          // Written by the decider, who knows it already.
        }
      }
    }

    @Override
    public void regained() {
      rule.sawOutageEnd(tools.clock().nowMs());
    }

    private void offer(BatchJob job) {
      decider.ifPresent(current -> current.accept(job));
    }

    private Optional<LogEntry> decode(KeyedRecord record) {
      try {
        return JobLogCodec.entry(record.key(), record.value());
      } catch (Refusal refusal) {
        tools.decisions().note("record-malformed", field("cause", refusal.getMessage()));
        return Optional.empty();
      }
    }

    // A claim whose answer was lost is found here.
    private void termRead(LogEntry entry, long offset) {
      LogContent.Term read = (LogContent.Term) entry.content().orElseThrow();
      boolean own = read.life().equals(life);
      if (own && read.term() == 0 && !rule.holds()) {
        won(JobTable.termOfClaim(offset), claimSentMs);
      }
      checkTerm();
    }

    private void checkTerm() {
      if (rule.holds() && table.termNumber() > rule.term()) {
        lose("another host has claimed a later term");
      }
    }
  }
}
