package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wheatwall.core.batch.decision.JobRecord;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.WaitSummary;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;

/**
 * The batch plane of an entry host: accepts jobs into the job log, answers from its replica of that
 * log, and decides for all hosts while it holds the term.
 *
 * <p>Everything runs on the decision loop; the public methods may be called on any thread.
 */
public final class BatchHost {
  // A decider looks at repeats and due times this often; other hosts have little to look at, and
  // each wake-up costs.
  private static final int DECIDER_TICK_MS = 100;
  private static final int TICK_MS = 250;
  private static final int STALE_AFTER_MS = 3000;
  private static final int RELEASE_LIMIT_MS = 1000;
  // Each reading is a call at the store and wakes this host, and every append of any host ends it.
  // A decider's delay holds jobs up; elsewhere only answers about their state get older.
  private static final int DECIDER_PAUSE_MS = 20;
  private static final int PAUSE_MS = 150;
  // An end is read two calls of the log after it happened: 8 ms as a rule, 0.28 s with a log that
  // is
  // 34 times slower (worked out). A caller may ask in passing, so it is not kept longer.
  private static final int LONGEST_STATE_WAIT_MS = 300;

  private final String name;
  private final Mechanisms mechanisms;
  private final BatchTools tools;
  private final LogFollower follower;
  private final JobReplica replica;
  private final SharedReading reading;
  private final JobIntake intake;
  private final TermHolder holder;
  private final HostRoster roster;
  private final EndWatch ends;
  private boolean announcing;
  private volatile long logAnsweredAtMs;
  private volatile WaitSummary waits = WaitSummary.NONE;
  private final LoopLag loopLag;

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
      BatchPorts ports,
      Executor loop,
      LoopTimer timer,
      Clock clock,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.name = settings.host();
    this.mechanisms = settings.mechanisms();
    this.tools = new BatchTools(loop, timer, clock, decisions, metrics);
    TermRule rule = new TermRule(settings.term(), settings.address(), life, clock.nowMs());
    TermHolder.ProcessLife process = new TermHolder.ProcessLife(life, claimSequence);
    this.roster =
        new HostRoster(
            settings.host(),
            new LogContent.Host(settings.peerAddress(), settings.zone()),
            clock.nowMs());
    this.ends = new EndWatch(timer);
    this.replica = new JobReplica(rule, roster, ends, clock, decisions);
    this.holder = new TermHolder(settings, process, tools, ports, rule, replica, roster);
    this.replica.listen(holder);
    this.follower =
        new LogFollower("jobs", ports.log(), loop, timer, clock, this::pauseMs, replica);
    this.holder.follow(follower);
    this.reading = new SharedReading(follower, tools);
    this.logAnsweredAtMs = follower.answeredAtMs();
    this.intake = new JobIntake("entry-" + settings.address() + "-" + life, ports.log(), tools);
    this.replica.whenRegained(this::logRegained);
    metrics.gauge("batch.jobs.kept", () -> () -> replica.table().jobs().size());
    metrics.gauge("batch.term.held", () -> rule::term);
    metrics.gauge("batch.peers.known", () -> () -> roster.peers().size());
    metrics.gauge("batch.log.position", () -> follower::position);
    metrics.gauge("batch.groups.waiting", () -> () -> waits.groups());
    metrics.gauge("batch.groups.longest-wait-ms", () -> () -> waits.longestMs());
    metrics.gauge("batch.workers.usable", () -> () -> waits.usableWorkers());
    metrics.gauge("batch.workers.listed", () -> () -> waits.listedWorkers());
    this.loopLag = new LoopLag(clock, decisions, metrics.histogram("batch.loop-late-ms"));
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
              : reading.toEnd().thenApply(done -> summary(jobId));
        });
  }

  /**
   * Returns a job's record as {@link #find} does, after its end if that comes within a moment.
   *
   * @param deadlineMs time on the steady clock by which the caller wants to know
   */
  public CompletableFuture<Optional<JobSummary>> findAfterEnd(String jobId, long deadlineMs) {
    return find(jobId).thenComposeAsync(found -> awaitEnd(jobId, found, deadlineMs), tools.loop());
  }

  private CompletableFuture<Optional<JobSummary>> awaitEnd(
      String jobId, Optional<JobSummary> found, long deadlineMs) {
    long waitMs = Math.min(LONGEST_STATE_WAIT_MS, deadlineMs - tools.clock().nowMs());
    boolean waits = mechanisms.on(Mechanism.END_WAIT) && !follower.failing();
    boolean over = found.map(summary -> summary.state().ended()).orElse(true);
    if (over || waitMs <= 0 || !waits) {
      return CompletableFuture.completedFuture(found);
    }
    CompletableFuture<Void> ended = ends.untilEnded(jobId, waitMs);
    follower.endPause();
    return ended.thenApply(done -> summary(jobId));
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
              return intake.cancel(jobId, deadlineMs).thenCompose(done -> readOwnWrite());
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
            throw BatchTools.unavailable(
                "the job log has not been read for " + STALE_AFTER_MS + " ms");
          }
          return CompletableFuture.completedFuture(replica.table().pending(queue));
        });
  }

  /** Returns what the parts of a job wait for or where they run; only the deciding host knows. */
  public CompletableFuture<List<String>> explain(String jobId) {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                holder
                    .decider()
                    .map(current -> current.supervisor().explain(jobId))
                    .orElse(List.of())));
  }

  /** Takes in what the operator's configuration says about scheduling. */
  public void setRules(SchedulingRules rules) {
    tools.loop().execute(() -> holder.setRules(rules));
  }

  /** Returns the seconds after which a caller that was turned away should come back. */
  public int returnAfterSeconds() {
    return ReturnTime.afterSeconds(tools.clock().nowMs() - logAnsweredAtMs);
  }

  /** Returns the other entry hosts, those of the same availability zone first. */
  public List<LogContent.Host> peers() {
    return roster.peers();
  }

  /**
   * Returns whether this host acts on a term; one that says no never does again. While the decision
   * loop is busy the answer does not wait for it, or the host would be taken for gone.
   */
  public CompletableFuture<Boolean> actsOn(long term) {
    if (loopLag.isBehind() && holder.acting().covers(term, tools.clock().leaseTimeMs())) {
      return CompletableFuture.completedFuture(true);
    }
    return onLoop(() -> CompletableFuture.completedFuture(holder.actsOn(term)));
  }

  /** Returns whether the job log answered the last call to it. */
  public CompletableFuture<Boolean> reachesLog() {
    return onLoop(
        () -> CompletableFuture.completedFuture(follower.started() && !follower.failing()));
  }

  /**
   * Returns whether this host can take jobs now: it would refuse them all while the log cannot be
   * read, and others may be able to read it.
   */
  public CompletableFuture<Boolean> ready() {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                fresh() && !follower.failing() && !holder.stopping()));
  }

  /** Hands the term over, if it is held; completes when that is done, or cannot be. */
  public CompletableFuture<Void> stop() {
    return onLoop(holder::release).completeOnTimeout(null, RELEASE_LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  /** A job as its submitter sees it. */
  public record JobSummary(String workspace, BatchState state) {}

  private Optional<JobSummary> summary(String jobId) {
    JobTable table = replica.table();
    return table.job(jobId).map(BatchHost::summary);
  }

  private static JobSummary summary(JobRecord record) {
    return new JobSummary(record.job().orElseThrow().workspace(), record.state());
  }

  private CompletableFuture<Void> submitOnLoop(BatchJob job, long deadlineMs) {
    if (!follower.started() || follower.failing()) {
      throw BatchTools.unavailable("the job log cannot be read now");
    }
    if (replica.table().job(job.id()).isPresent()) {
      return CompletableFuture.completedFuture(null);
    }
    return intake.accept(job, deadlineMs);
  }

  private void logRegained() {
    holder.decider().ifPresent(BatchDecider::logRegained);
    intake.logRegained();
  }

  private boolean fresh() {
    long age = tools.clock().nowMs() - follower.confirmedAtMs();
    return follower.started() && age < STALE_AFTER_MS;
  }

  // A caller that asks after its call was answered sees what it did; the call itself is done
  // whether or not the log can be read.
  private CompletableFuture<Boolean> readOwnWrite() {
    return reading.toEnd().handle((done, failure) -> true);
  }

  private int pauseMs() {
    boolean awaited = holder.decider().isPresent() || ends.anyWaiting();
    return awaited ? DECIDER_PAUSE_MS : PAUSE_MS;
  }

  private void tick() {
    int periodMs = holder.busy() ? DECIDER_TICK_MS : TICK_MS;
    long dueMs = loopLag.ticked(periodMs);
    tools.timer().after(periodMs, this::tick);
    logAnsweredAtMs = follower.answeredAtMs();
    follower.confirm();
    intake.expire();
    holder.tick(dueMs);
    waits = holder.waits();
    announce();
  }

  private void announce() {
    Map<String, LogContent.Host> hosts = replica.table().hosts();
    roster.update(hosts);
    boolean readable = follower.started() && !follower.failing();
    if (announcing || !readable || !roster.mustAnnounce(hosts, tools.clock().nowMs())) {
      return;
    }
    announcing = true;
    LoopCallbacks.whenDone(
        intake.announce(name, roster.content()),
        tools.loop(),
        (done, failure) -> {
          announcing = false;
          tools
              .decisions()
              .note(
                  "host-announced", field("host", name), field("failure", String.valueOf(failure)));
        });
  }

  private <T> CompletableFuture<T> onLoop(Supplier<CompletableFuture<T>> work) {
    return CompletableFuture.supplyAsync(work, tools.loop()).thenCompose(result -> result);
  }
}
