package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wheatwall.core.batch.decision.JobMemory;
import org.wheatwall.core.batch.decision.RunTimeTracker;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.WaitSummary;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.CancelScope;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.batch.peer.ReachabilityReport;
import org.wheatwall.entry.batch.worker.WorkerPort;
import org.wheatwall.entry.common.Clock;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.entry.common.LoopExecutor;

/**
 * The batch plane of an entry host: accepts jobs into the job log, answers queries from its replica
 * of that log, and schedules for all hosts while it holds the term.
 *
 * <p>Everything runs on the decision loop; the public methods may be called on any thread.
 */
public final class BatchHost {
  // The decider checks for retries and due times at this interval. Other hosts have little to
  // check, and each wake-up costs processor time.
  private static final int DECIDER_TICK_MS = 100;
  private static final int TICK_MS = 250;
  private static final int MAX_LOG_AGE_MS = 3000;
  private static final int RELEASE_TIMEOUT_MS = 1000;
  // Each read is a call to the store that wakes this host, and an append of any host completes it.
  // A delay on the decider delays jobs; on other hosts it only makes job states older.
  private static final int DECIDER_READ_PAUSE_MS = 20;
  private static final int READ_PAUSE_MS = 150;

  private final String name;
  private final BatchContext context;
  private final LogFollower follower;
  private final JobReplica replica;
  private final JobIntake intake;
  private final TermElection election;
  private final HostRoster roster;
  private final AdmissionControl admission;
  private final RecordWaiters recordWaiters;
  private final JobCalls calls;
  private boolean announcing;
  private volatile long logRespondedAtMs;
  private volatile WaitSummary waitSummary = WaitSummary.NONE;
  private final LoopLag loopLag;
  private final ReadOffsets readOffsets;
  private final WorkerPort workers;
  private final int claimDelayMs;

  /**
   * Creates the plane; {@link #start} starts it.
   *
   * @param incarnation identifier of this process, different from that of any other process
   * @param claimSequence sequence number of its claims at the store, positive and different from
   *     that of any other process
   */
  public BatchHost(
      BatchSettings settings,
      String incarnation,
      long claimSequence,
      BatchPorts ports,
      LoopExecutor loop,
      LoopTimer timer,
      Clock clock,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.name = settings.host();
    this.workers = ports.workers();
    this.claimDelayMs = settings.term().yieldMs();
    this.context = new BatchContext(loop, timer, clock, decisions, metrics);
    TermRule rule =
        new TermRule(
            settings.term(), settings.host(), settings.address(), incarnation, clock.nowMs());
    TermElection.ProcessIdentity process =
        new TermElection.ProcessIdentity(incarnation, claimSequence);
    this.roster =
        new HostRoster(
            settings.host(),
            new LogContent.Host(settings.peerAddress(), settings.zone()),
            clock.nowMs());
    this.recordWaiters = new RecordWaiters(timer);
    this.admission = new AdmissionControl(settings.features(), context);
    JobMemoryLimit memoryLimit =
        new JobMemoryLimit(JobMemory.ofHeap(Runtime.getRuntime().maxMemory()), context);
    UnknownCancellations unknownCancellations = new UnknownCancellations(context);
    this.readOffsets = new ReadOffsets(clock.leaseTimeMs());
    RunTimeTracker runTimes = new RunTimeTracker(settings.features().speedAware().enabled());
    this.replica =
        new JobReplica(
            rule,
            roster,
            recordWaiters,
            admission,
            memoryLimit,
            unknownCancellations,
            clock,
            decisions,
            runTimes);
    this.election = new TermElection(settings, process, context, ports, rule, replica, roster);
    this.replica.setListener(election);
    this.follower =
        new LogFollower("jobs", ports.log(), loop, timer, clock, this::pauseMs, replica);
    this.election.setFollower(follower);
    this.logRespondedAtMs = follower.respondedAtMs();
    this.intake =
        new JobIntake("entry-" + settings.address() + "-" + incarnation, ports.log(), context);
    this.calls =
        new JobCalls(
            settings.mechanisms(),
            context,
            follower,
            replica,
            intake,
            recordWaiters,
            job -> memoryLimit.check(job).or(() -> admission.check(job, roster.peers().size() + 1)),
            unknownCancellations,
            this::readOffsetAtArrival);
    this.replica.onLogRecovered(this::logRecovered);
    registerGauges(metrics, rule);
    this.loopLag = new LoopLag(clock, decisions, metrics.histogram("batch.loop-late-ms"));
    metrics.gauge("log.lines.left-out", () -> decisions::droppedLines);
  }

  private void registerGauges(MetricRegistry metrics, TermRule rule) {
    metrics.gauge("batch.jobs.kept", () -> () -> replica.table().jobs().size());
    metrics.gauge("batch.term.held", () -> rule::term);
    metrics.gauge("batch.peers.known", () -> () -> roster.peers().size());
    metrics.gauge("batch.log.position", () -> follower::position);
    metrics.gauge("batch.groups.waiting", () -> () -> waitSummary.groups());
    metrics.gauge("batch.groups.longest-wait-ms", () -> () -> waitSummary.longestMs());
    metrics.gauge("batch.workers.usable", () -> () -> waitSummary.usableWorkers());
    metrics.gauge("batch.workers.listed", () -> () -> waitSummary.listedWorkers());
  }

  /** Starts to read the job log. */
  public void start() {
    context.loop().execute(follower::start);
    context.timer().after(TICK_MS, this::tick);
  }

  /**
   * Accepts a job; completes once the job is stored durably. Fails with a {@link Refusal}:
   * UNAVAILABLE if the job was not accepted and never runs, LIMIT if it could not end in time,
   * UNKNOWN if that could not be determined.
   *
   * @param readLimit offset up to which the log counts as read, if this host has read more: that of
   *     the host that forwards the call
   * @param deadlineMs time on the monotonic clock until which the caller waits, milliseconds
   */
  public CompletableFuture<Void> submit(BatchJob job, long readLimit, long deadlineMs) {
    return onLoop(() -> calls.submit(job, readLimit, deadlineMs));
  }

  /** Accepts a job of a caller that has connected to this host. */
  public CompletableFuture<Void> submit(BatchJob job, long deadlineMs) {
    return submit(job, Long.MAX_VALUE, deadlineMs);
  }

  /**
   * Returns a job's summary; empty if there is no such job. Fails with UNAVAILABLE if that cannot
   * be determined.
   */
  public CompletableFuture<Optional<JobSummary>> find(String jobId) {
    return onLoop(() -> calls.find(jobId));
  }

  /**
   * Returns a job's summary as {@link #find} does, but waits briefly for the end of a job that
   * still runs.
   *
   * @param deadlineMs time on the monotonic clock until which the caller waits, milliseconds
   */
  public CompletableFuture<Optional<JobSummary>> findOrAwaitEnd(String jobId, long deadlineMs) {
    return onLoop(() -> calls.findOrAwaitEnd(jobId, deadlineMs));
  }

  /**
   * Requests the cancellation of a job; false if there is no such job. Fails as {@link #submit}
   * does.
   *
   * @param scope the jobs that the caller may cancel, if this one is not known
   * @param permission throws a {@link Refusal} if the caller may not cancel the job
   */
  public CompletableFuture<Boolean> cancel(
      String jobId, CancelScope scope, Consumer<JobSummary> permission, long deadlineMs) {
    return onLoop(() -> calls.cancel(jobId, scope, permission, deadlineMs));
  }

  /**
   * Returns the offset up to which this host had read the log before it stood still, if a call that
   * is processed now may have arrived meanwhile. A host to which the call is forwarded has to know
   * it.
   */
  public CompletableFuture<OptionalLong> readLimitAfterStandstill() {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                readOffsets.limitAfterStandstill(context.clock().leaseTimeMs())));
  }

  private long readOffsetAtArrival() {
    return readOffsets.offsetAtArrival(context.clock().leaseTimeMs(), follower.position());
  }

  /**
   * Returns the number of jobs of a queue that have not begun. Fails with UNAVAILABLE if it is not
   * known.
   */
  public CompletableFuture<Integer> pendingJobs(String queue) {
    return onLoop(
        () -> {
          if (!isFresh()) {
            throw BatchContext.unavailable(
                "the job log has not been read for " + MAX_LOG_AGE_MS + " ms");
          }
          return CompletableFuture.completedFuture(replica.pendingJobs(queue));
        });
  }

  /**
   * Returns what the parts of a job wait for or where they run; empty on all hosts but the term
   * holder.
   */
  public CompletableFuture<List<String>> explain(String jobId) {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                election
                    .decider()
                    .map(current -> current.supervisor().explain(jobId))
                    .orElse(List.of())));
  }

  /** Applies the scheduling rules of the operator's configuration. */
  public void setRules(SchedulingRules rules) {
    context
        .loop()
        .execute(
            () -> {
              admission.setRules(rules);
              election.setRules(rules);
            });
  }

  /** Applies a change of the operator's evacuations. */
  public void onEvacuationsChanged() {
    context.loop().execute(() -> election.decider().ifPresent(BatchDecider::updateEvacuations));
  }

  /** Returns the seconds after which a caller whose call was refused should retry. */
  public int retryAfterSeconds() {
    return RetryAfter.seconds(context.clock().nowMs() - logRespondedAtMs);
  }

  /** Returns the other entry hosts, those of the same availability zone first. */
  public List<LogContent.Host> peers() {
    return roster.peers();
  }

  /**
   * Returns whether this host acts on a term; after returning false for a term, it never acts on it
   * again. While the decision loop is busy the response does not wait for it, since the other host
   * would take a late response for a failed host.
   */
  public CompletableFuture<Boolean> actsOn(long term) {
    if (loopLag.isBehind()
        && election.actingTerm().allowsCommands(term, context.clock().leaseTimeMs())) {
      return CompletableFuture.completedFuture(true);
    }
    return CompletableFuture.supplyAsync(
        () -> election.actsOn(term), context.loop()::executeUrgent);
  }

  /**
   * Returns how many of some workers this host reaches, for a host that looks for a better one to
   * decide. Fails with UNAVAILABLE if this host could not decide now.
   *
   * @param workerAddresses IP addresses and ports of the workers
   */
  public CompletableFuture<ReachabilityReport> countReachable(List<String> workerAddresses) {
    return isReady()
        .thenCompose(
            ready -> {
              if (!ready) {
                throw BatchContext.unavailable("this host cannot decide now");
              }
              return ReachabilitySurvey.countReachable(workers, workerAddresses);
            })
        .thenApply(count -> new ReachabilityReport(count, claimDelayMs));
  }

  /** Returns whether the last call to the job log succeeded. */
  public CompletableFuture<Boolean> isLogReachable() {
    return onLoop(
        () -> CompletableFuture.completedFuture(follower.isStarted() && !follower.isFailing()));
  }

  /**
   * Returns whether this host can accept jobs now. It would refuse all of them while the log cannot
   * be read, and other hosts may be able to read it.
   */
  public CompletableFuture<Boolean> isReady() {
    return onLoop(
        () ->
            CompletableFuture.completedFuture(
                isFresh() && !follower.isFailing() && !election.isStopping()));
  }

  /** Hands the term over if it is held; completes when that is done, or has failed or timed out. */
  public CompletableFuture<Void> stop() {
    return onLoop(election::release)
        .completeOnTimeout(null, RELEASE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** A job as its submitter sees it. */
  public record JobSummary(String workspace, String queue, BatchState state) {}

  private void logRecovered() {
    election.decider().ifPresent(BatchDecider::logRecovered);
    intake.logRecovered();
  }

  private boolean isFresh() {
    long age = context.clock().nowMs() - follower.confirmedAtMs();
    return follower.isStarted() && age < MAX_LOG_AGE_MS;
  }

  private int pauseMs() {
    boolean awaited = election.decider().isPresent() || recordWaiters.hasWaiters();
    return awaited ? DECIDER_READ_PAUSE_MS : READ_PAUSE_MS;
  }

  private void tick() {
    int periodMs = election.needsFrequentTicks() ? DECIDER_TICK_MS : TICK_MS;
    long dueMs = loopLag.recordTick(periodMs);
    readOffsets.recordTick(context.clock().leaseTimeMs(), follower.position());
    context.timer().after(periodMs, this::tick);
    logRespondedAtMs = follower.respondedAtMs();
    follower.confirm();
    intake.expire();
    election.tick(dueMs);
    waitSummary = election.waitSummary();
    announce();
  }

  private void announce() {
    Map<String, LogContent.Host> hosts = replica.table().hosts();
    roster.update(hosts);
    boolean readable = follower.isStarted() && !follower.isFailing();
    if (announcing || !readable || !roster.mustAnnounce(hosts, context.clock().nowMs())) {
      return;
    }
    announcing = true;
    LoopCallbacks.whenDone(
        intake.announceHost(name, roster.ownRecord()),
        context.loop(),
        (done, failure) -> {
          announcing = false;
          context
              .decisions()
              .log(
                  "host-announced", field("host", name), field("failure", String.valueOf(failure)));
        });
  }

  private <T> CompletableFuture<T> onLoop(Supplier<CompletableFuture<T>> work) {
    return CompletableFuture.supplyAsync(work, context.loop()).thenCompose(result -> result);
  }
}
