package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.wheatwall.core.batch.decision.ActingTerm;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.TermRule;
import org.wheatwall.core.batch.decision.WaitSummary;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.SchedulingRules;
import org.wheatwall.core.common.Mechanism;
import org.wheatwall.entry.batch.log.KeyedLog;
import org.wheatwall.entry.batch.log.KeyedRecord;
import org.wheatwall.entry.batch.log.LogFailure;
import org.wheatwall.entry.batch.log.LogFollower;
import org.wheatwall.entry.batch.peer.HostRoster;
import org.wheatwall.entry.common.LoopCallbacks;
import org.wheatwall.wire.batch.JobLogCodec;

/**
 * Claims the term while no other host holds it, renews it, and releases it. While this host holds
 * the term it has a {@link BatchDecider}.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class TermElection implements JobReplica.Listener {
  // Each retry takes two calls of some milliseconds; more would not fit between two ticks.
  private static final int MAX_CLAIM_RETRIES_PER_TICK = 5;
  // Other hosts claim as soon as they have read the hand-over; if none does, no host schedules in
  // this time.
  private static final int CLAIM_HOLD_OFF_MS = 2000;
  // Keeps the term from circulating continuously if no host reaches most workers, and none can ask
  // the others.
  private static final int MIN_RELEASE_INTERVAL_MS = 30_000;
  private static final int RENEWAL_CHECK_MS = 100;
  // The periodic task of a decider is due each 100 ms.
  private static final int LATE_TICK_MS = 150;
  // A host that makes no progress for longer is not likely to, and another may do better.
  private static final int MAX_TIME_WITHOUT_PROGRESS_MS = 5000;
  // The first reports of all workers may wait before the periodic task. A host that gave up for
  // that
  // would leave the same work to the next.
  private static final int TAKE_OVER_MS = 15_000;
  // If the term goes from host to host, it stays with the next one that is late. Otherwise a host
  // that
  // is late loses it, since most other hosts are faster.
  private static final int RECENT_CLAIM_MS = 10_000;

  private final BatchSettings settings;
  private final ProcessIdentity process;
  private final BatchContext context;
  private final BatchPorts ports;
  private final TermRule rule;
  private final JobReplica replica;
  private final HostRoster roster;
  private final HolderPoller holderPoller;
  private final ReachabilityHandOver reachabilityHandOver;
  private LogFollower follower;
  private SchedulingRules rules = SchedulingRules.NONE;
  private Optional<BatchDecider> decider = Optional.empty();
  private boolean claiming;
  private int claimRetries;
  private boolean stopping;
  private volatile ActingTerm actingTerm = ActingTerm.NONE;
  private long holdOffUntilMs = Long.MIN_VALUE;
  private boolean claimedReleasedTerm;
  private long termStartMs;
  private long othersClaimedAtMs = Long.MIN_VALUE / 2;
  // When the periodic task ran last, or the term began.
  private long lastTickAtMs;
  // The term that the last claim would win. Empty once the term has ended here, and once this host
  // has replied that it does not act on it, so that a claim whose response was lost is not used.
  private OptionalLong claimedTerm = OptionalLong.empty();

  /**
   * Identifies this process.
   *
   * @param incarnation identifier, different from that of any other process
   * @param claimSequence sequence number of its claims at the store, positive and different from
   *     that of any other process
   */
  record ProcessIdentity(String incarnation, long claimSequence) {}

  TermElection(
      BatchSettings settings,
      ProcessIdentity process,
      BatchContext context,
      BatchPorts ports,
      TermRule rule,
      JobReplica replica,
      HostRoster roster) {
    this.settings = settings;
    this.process = process;
    this.context = context;
    this.ports = ports;
    this.rule = rule;
    this.replica = replica;
    this.roster = roster;
    this.holderPoller =
        new HolderPoller(ports.holders(), rule, replica, context, this::claimIfFree);
    this.reachabilityHandOver =
        new ReachabilityHandOver(
            new ReachabilitySurvey(ports.workers(), ports.reachability(), settings.host(), context),
            () -> replica.table().hosts(),
            context,
            new OwnTerm());
  }

  /** Sets the reader of the job log; must be called before anything else. */
  void setFollower(LogFollower newFollower) {
    follower = newFollower;
  }

  Optional<BatchDecider> decider() {
    return decider;
  }

  boolean isStopping() {
    return stopping;
  }

  /**
   * Performs the periodic work that is due: renews the term, or claims it if no host holds it.
   *
   * @param dueMs when this call was due, milliseconds on the monotonic clock
   */
  void tick(long dueMs) {
    lastTickAtMs = context.clock().nowMs();
    actingTerm = rule.actingTerm();
    claimRetries = 0;
    decider.ifPresent(current -> current.tick(replica.table(), replica.endedJobs(), dueMs));
    decider.ifPresent(this::dropExpiredHosts);
    decider.ifPresent(reachabilityHandOver::tick);
    renewIfDue();
    if (isReadyToClaim() && settings.mechanisms().isEnabled(Mechanism.HOLDER_QUESTIONS)) {
      holderPoller.pollIfDue();
    }
    claimIfFree();
  }

  /** Returns whether to tick often: the term is held, or its holder's records are overdue. */
  boolean needsFrequentTicks() {
    return decider.isPresent() || holderPoller.isDue();
  }

  /**
   * Returns whether this host acts on a term, for another host that has read no record of it for a
   * while. If the log does not respond to this host, gives up the term, since the other host can
   * reach the log. A host that was too busy to write has no append without a response, and keeps
   * the term.
   */
  boolean actsOn(long term) {
    if (!rule.holdsTerm() || rule.term() != term) {
      disownClaim(term);
      return false;
    }
    boolean unconfirmed = rule.isUnconfirmed(context.clock().leaseTimeMs());
    if (!stopping && unconfirmed && decider.filter(BatchDecider::isLogUnresponsive).isPresent()) {
      endTerm("nothing was confirmed, and another host can read the log");
      disownClaim(term);
      return false;
    }
    return true;
  }

  private void disownClaim(long term) {
    if (claimedTerm.equals(OptionalLong.of(term))) {
      claimedTerm = OptionalLong.empty();
    }
  }

  private void dropExpiredHosts(BatchDecider current) {
    for (String expired : roster.expiredHosts(context.clock().nowMs())) {
      roster.recordSeen(expired, context.clock().nowMs());
      context.decisions().log("host-forgotten", field("host", expired));
      current.write(LogEntry.tombstone(LogKey.host(expired)));
    }
  }

  /**
   * Returns the term under which this host sends commands, as of the last tick. May be called on
   * any thread.
   */
  ActingTerm actingTerm() {
    return actingTerm;
  }

  /** Returns how many groups wait; {@link WaitSummary#NONE} while another host decides. */
  WaitSummary waitSummary() {
    return decider.map(current -> current.supervisor().waitSummary()).orElse(WaitSummary.NONE);
  }

  void setRules(SchedulingRules newRules) {
    rules = newRules;
    decider.ifPresent(current -> current.setRules(rules));
  }

  /** Stops claiming and hands the term over if it is held; the future never fails. */
  CompletableFuture<Void> release() {
    stopping = true;
    if (decider.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return handOver(decider.get(), Optional.empty());
  }

  private final class OwnTerm implements ReachabilityHandOver.HeldTerm {
    @Override
    public boolean isDecidedBy(BatchDecider candidate) {
      return !stopping && !candidate.ended() && decider.equals(Optional.of(candidate));
    }

    @Override
    public boolean mayBeReleasedToAnyHost() {
      long heldMs = context.clock().nowMs() - termStartMs;
      return !claimedReleasedTerm || heldMs >= MIN_RELEASE_INTERVAL_MS;
    }

    @Override
    public void handOver(BatchDecider current, Optional<String> successor) {
      context
          .decisions()
          .log(
              "workers-not-reached",
              field("term", rule.term()),
              field("successor", successor.orElse("")));
      holdOffUntilMs = context.clock().nowMs() + CLAIM_HOLD_OFF_MS;
      TermElection.this.handOver(current, successor);
    }
  }

  private CompletableFuture<Void> handOver(BatchDecider current, Optional<String> successor) {
    current.stopCommands();
    return current
        .write(termEntry(rule.term(), true, successor))
        .handle(
            (done, failure) -> {
              endTerm(failure == null ? "it was handed over" : "it could not be handed over");
              return null;
            });
  }

  @Override
  public void onJob(BatchJob job) {
    decider.ifPresent(current -> current.accept(job));
  }

  @Override
  public void onDefinitionHidden(LogContent.Definition hidden) {
    decider.ifPresent(current -> current.rewrite(hidden));
  }

  @Override
  public void onCancellation(String jobId) {
    decider.ifPresent(current -> current.cancel(jobId));
  }

  // This also finds a claim whose response was lost.
  @Override
  public void onTerm(LogContent.Term term, long offset) {
    boolean isOwn = term.incarnation().equals(process.incarnation());
    if (!isOwn && term.term() == 0) {
      othersClaimedAtMs = context.clock().nowMs();
    }
    if (isOwn && term.term() == 0 && !rule.holdsTerm()) {
      startTerm(JobTable.termOfClaim(offset));
    }
    endTermIfSuperseded();
    if (term.released()) {
      term.successor().ifPresent(name -> reachabilityHandOver.onHandOverRead());
      claimIfFree();
    }
  }

  @Override
  public void onReset() {
    endTermIfSuperseded();
  }

  private void endTermIfSuperseded() {
    if (rule.holdsTerm() && replica.table().termNumber() > rule.term()) {
      endTerm("another host has claimed a later term");
    }
  }

  private void renewIfDue() {
    if (decider.isPresent() && !stopping && rule.holdsTerm() && decider.get().isWriterIdle()) {
      long now = context.clock().leaseTimeMs();
      if (!rule.mayAct(now + settings.term().actMs() - settings.term().renewMs())) {
        decider.get().write(renewalEntry(decider.get()));
      }
    }
  }

  private void claimIfFree() {
    if (claiming || !isReadyToClaim() || !mayClaim()) {
      return;
    }
    claiming = true;
    LoopCallbacks.whenDone(
        follower.catchUp(),
        context.loop(),
        (done, failure) -> {
          if (failure != null || !mayClaim()) {
            claiming = false;
            return;
          }
          claim(follower.position());
        });
  }

  private boolean isReadyToClaim() {
    boolean holdingOff = context.clock().nowMs() < holdOffUntilMs;
    return !stopping && !holdingOff && follower.isStarted() && !follower.isFailing();
  }

  private boolean mayClaim() {
    return rule.mayClaim(replica.table().term(), context.clock().nowMs());
  }

  // The claim is appended only if nothing was appended since this host's last read, and its offset
  // gives the number of the term: so terms increase, and a retry of a lost claim is the same claim.
  // The sequence number of the call is unique to this process; otherwise the store would take a
  // rival's claim for such a retry.
  private void claim(long position) {
    rule.onClaimSent(context.clock().nowMs(), context.clock().leaseTimeMs());
    claimedTerm = OptionalLong.of(JobTable.termOfClaim(position));
    claimedReleasedTerm = replica.table().term().filter(LogContent.Term::released).isPresent();
    LogEntry entry = termEntry(0, false);
    KeyedRecord record = new KeyedRecord(entry.key().text(), JobLogCodec.encodeValue(entry));
    KeyedLog.AppendCall call =
        new KeyedLog.AppendCall(
            List.of(record),
            OptionalLong.of(position),
            BatchDecider.PRODUCER,
            JobTable.termOfClaim(position),
            process.claimSequence());
    LoopCallbacks.whenDone(
        ports.log().append(call),
        context.loop(),
        (appended, failure) -> {
          claiming = false;
          if (failure == null) {
            startTerm(JobTable.termOfClaim(appended.offset()));
          } else {
            claimFailed(position, LogFailure.of(failure));
          }
        });
  }

  // Every accepted job moves the end of the log. Retrying only at the next tick would leave the
  // term to whichever host happens to claim at a quiet moment.
  private void claimFailed(long position, LogFailure failure) {
    context
        .decisions()
        .log("claim-failed", field("position", position), field("cause", failure.kind()));
    if (failure.kind() == LogFailure.Kind.MOVED && claimRetries < MAX_CLAIM_RETRIES_PER_TICK) {
      claimRetries++;
      claimIfFree();
    }
  }

  private void startTerm(long term) {
    JobTable table = replica.table();
    boolean claimed = claimedTerm.equals(OptionalLong.of(term));
    if (rule.holdsTerm() || stopping || table.termNumber() > term || !claimed) {
      return;
    }
    rule.onWon(term);
    termStartMs = context.clock().nowMs();
    context
        .decisions()
        .log(
            "term-won",
            field("term", term),
            field("jobs", table.jobs().size()),
            field("overlapMs", rule.overlapMs()));
    BatchDecider newDecider =
        new BatchDecider(
            settings,
            context,
            ports,
            rule,
            process.claimSequence() + 1,
            rule.overlapMs(),
            replica.runTimes(),
            () -> endTerm("the term was refused"));
    decider = Optional.of(newDecider);
    lastTickAtMs = termStartMs;
    keepTerm(newDecider);
    newDecider.setRules(rules);
    newDecider.begin(table, replica.leaseStops());
    if (!newDecider.ended()) {
      ports.directory().open(newDecider);
    }
  }

  // Renews the term while the periodic task waits behind other work, such as that of taking over.
  private void keepTerm(BatchDecider holder) {
    if (decider.filter(current -> current == holder).isEmpty()) {
      return;
    }
    long nowMs = context.clock().nowMs();
    boolean late = nowMs - lastTickAtMs >= LATE_TICK_MS;
    long progressedAtMs = Math.max(holder.progressedAtMs(), termStartMs + TAKE_OVER_MS);
    boolean goesRound = termStartMs - othersClaimedAtMs < RECENT_CLAIM_MS;
    if (late && goesRound && nowMs - progressedAtMs < MAX_TIME_WITHOUT_PROGRESS_MS) {
      renewIfDue();
    }
    actingTerm = rule.actingTerm();
    context.timer().afterUrgent(RENEWAL_CHECK_MS, () -> keepTerm(holder));
  }

  private void endTerm(String reason) {
    if (decider.isEmpty()) {
      return;
    }
    context.decisions().log("term-lost", field("term", rule.term()), field("reason", reason));
    ports.directory().close();
    decider.get().end(reason);
    decider = Optional.empty();
    claimedTerm = OptionalLong.empty();
    rule.onLost(context.clock().nowMs());
    actingTerm = ActingTerm.NONE;
  }

  private LogEntry renewalEntry(BatchDecider current) {
    return LogEntry.of(
        LogKey.TERM,
        new LogContent.Term(
            settings.host(),
            settings.address(),
            process.incarnation(),
            rule.term(),
            false,
            Optional.empty(),
            settings.features().admission().enabled()
                ? OptionalInt.of(current.supervisor().scheduler().usableAccelerators())
                : OptionalInt.empty(),
            leaseStopsFrom()));
  }

  private OptionalLong leaseStopsFrom() {
    return OptionalLong.of(replica.leaseStops().validFrom());
  }

  private LogEntry termEntry(long term, boolean released) {
    return termEntry(term, released, Optional.empty());
  }

  private LogEntry termEntry(long term, boolean released, Optional<String> successor) {
    return LogEntry.of(
        LogKey.TERM,
        new LogContent.Term(
            settings.host(),
            settings.address(),
            process.incarnation(),
            term,
            released,
            successor,
            OptionalInt.empty(),
            leaseStopsFrom()));
  }
}
