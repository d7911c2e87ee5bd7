package org.wheatwall.entry.batch;

import static org.wheatwall.entry.batch.DecisionLog.field;

import java.util.List;
import java.util.Optional;
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
 * Claims the term while no other host holds it, renews it, and gives it back. While this host holds
 * the term it has a {@link BatchDecider}.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
final class TermHolder implements JobReplica.Listener {
  // Each takes two calls of some milliseconds; more would not fit between two ticks.
  private static final int CLAIM_REPEATS = 5;
  // Others claim as soon as they have read of the hand-over; if there is none, nobody decides.
  private static final int LEFT_TO_OTHERS_MS = 2000;
  // If no host reaches most workers, the term must not go round without a rest.
  private static final int HAND_OVERS_APART_MS = 15_000;

  private final BatchSettings settings;
  private final ProcessLife process;
  private final BatchTools tools;
  private final BatchPorts ports;
  private final TermRule rule;
  private final JobReplica replica;
  private final HostRoster roster;
  private final HolderWatch watch;
  private LogFollower follower;
  private SchedulingRules rules = SchedulingRules.NONE;
  private Optional<BatchDecider> decider = Optional.empty();
  private boolean claiming;
  private int claimRepeats;
  private boolean stopping;
  private volatile ActingTerm acting = ActingTerm.NONE;
  private long leftToOthersUntilMs = Long.MIN_VALUE;
  private boolean claimsHandedOver;
  private long wonAtMs;
  // The term that the last claim would give; none once it was said not to be acted on, so that a
  // claim of which the answer was lost stays unused.
  private OptionalLong claimedTerm = OptionalLong.empty();

  /**
   * What tells this process from all others.
   *
   * @param name unlike that of any other process
   * @param claimSequence number of its claims at the store, positive and unlike that of any other
   */
  record ProcessLife(String name, long claimSequence) {}

  TermHolder(
      BatchSettings settings,
      ProcessLife process,
      BatchTools tools,
      BatchPorts ports,
      TermRule rule,
      JobReplica replica,
      HostRoster roster) {
    this.settings = settings;
    this.process = process;
    this.tools = tools;
    this.ports = ports;
    this.rule = rule;
    this.replica = replica;
    this.roster = roster;
    this.watch = new HolderWatch(ports.holders(), rule, replica, tools, this::claimIfFree);
  }

  /** Sets the reader of the job log; to be called before anything else. */
  void follow(LogFollower next) {
    follower = next;
  }

  Optional<BatchDecider> decider() {
    return decider;
  }

  boolean stopping() {
    return stopping;
  }

  /**
   * Does what is due: renews the term, or claims it if nobody holds it.
   *
   * @param dueMs when this call was due
   */
  void tick(long dueMs) {
    acting = rule.acting();
    claimRepeats = 0;
    decider.ifPresent(current -> current.tick(replica.table(), dueMs));
    decider.ifPresent(this::dropHostsThatAreGone);
    decider.ifPresent(this::handOverIfDeaf);
    renewIfDue();
    if (mayClaimSoon() && settings.mechanisms().on(Mechanism.HOLDER_QUESTIONS)) {
      watch.look();
    }
    claimIfFree();
  }

  /** Returns whether to be called often: the term is held, or its holder has fallen silent. */
  boolean busy() {
    return decider.isPresent() || watch.due();
  }

  /**
   * Returns whether this host acts on a term, as another asks that has read no record of it for a
   * while. If the log does not answer here either, the term is given up: the other can reach the
   * log. A host that was too busy to write has no answer to miss, and keeps the term.
   */
  boolean actsOn(long term) {
    if (!rule.holds() || rule.term() != term) {
      disown(term);
      return false;
    }
    boolean unconfirmed = rule.unconfirmed(tools.clock().limitMs());
    if (!stopping && unconfirmed && decider.filter(BatchDecider::logSilent).isPresent()) {
      lose("nothing was confirmed, and another host can read the log");
      disown(term);
      return false;
    }
    return true;
  }

  private void disown(long term) {
    if (claimedTerm.equals(OptionalLong.of(term))) {
      claimedTerm = OptionalLong.empty();
    }
  }

  private void dropHostsThatAreGone(BatchDecider current) {
    for (String gone : roster.gone(tools.clock().nowMs())) {
      roster.seen(gone, tools.clock().nowMs());
      tools.decisions().note("host-forgotten", field("host", gone));
      current.write(LogEntry.drop(LogKey.host(gone)));
    }
  }

  /**
   * Returns the term under which this host gives orders, as of the last tick. May be called on any
   * thread.
   */
  ActingTerm acting() {
    return acting;
  }

  /** Returns how many groups wait; none while another host decides. */
  WaitSummary waits() {
    return decider.map(current -> current.supervisor().waits()).orElse(WaitSummary.NONE);
  }

  void setRules(SchedulingRules next) {
    rules = next;
    decider.ifPresent(current -> current.setRules(rules));
  }

  /** Claims no more and hands the term over, if it is held; the future never fails. */
  CompletableFuture<Void> release() {
    stopping = true;
    if (decider.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return handOver(decider.get());
  }

  // Another host may reach the workers that this one does not.
  private void handOverIfDeaf(BatchDecider current) {
    long nowMs = tools.clock().nowMs();
    boolean early = claimsHandedOver && nowMs - wonAtMs < HAND_OVERS_APART_MS;
    if (early || current.ended() || !current.supervisor().reachesTooFew()) {
      return;
    }
    tools.decisions().note("workers-not-reached", field("term", rule.term()));
    leftToOthersUntilMs = nowMs + LEFT_TO_OTHERS_MS;
    handOver(current);
  }

  private CompletableFuture<Void> handOver(BatchDecider current) {
    current.stopOrders();
    return current
        .write(termEntry(rule.term(), true))
        .handle(
            (done, failure) -> {
              lose(failure == null ? "it was handed over" : "it could not be handed over");
              return null;
            });
  }

  @Override
  public void accepted(BatchJob job) {
    decider.ifPresent(current -> current.accept(job));
  }

  @Override
  public void cancelled(String jobId) {
    decider.ifPresent(current -> current.cancel(jobId));
  }

  // A claim whose answer was lost is found here.
  @Override
  public void termRead(LogContent.Term term, long offset) {
    boolean own = term.life().equals(process.name());
    if (own && term.term() == 0 && !rule.holds()) {
      won(JobTable.termOfClaim(offset));
    }
    loseIfOutdated();
    if (term.released()) {
      claimIfFree();
    }
  }

  @Override
  public void restarted() {
    loseIfOutdated();
  }

  private void loseIfOutdated() {
    if (rule.holds() && replica.table().termNumber() > rule.term()) {
      lose("another host has claimed a later term");
    }
  }

  private void renewIfDue() {
    if (decider.isPresent() && !stopping && rule.holds() && decider.get().writerIdle()) {
      long now = tools.clock().limitMs();
      if (!rule.mayAct(now + settings.term().actMs() - settings.term().renewMs())) {
        decider.get().write(termEntry(rule.term(), false));
      }
    }
  }

  private void claimIfFree() {
    if (claiming || !mayClaimSoon() || !mayClaim()) {
      return;
    }
    claiming = true;
    LoopCallbacks.whenDone(
        follower.catchUp(),
        tools.loop(),
        (done, failure) -> {
          if (failure != null || !mayClaim()) {
            claiming = false;
            return;
          }
          claim(follower.position());
        });
  }

  private boolean mayClaimSoon() {
    boolean leftToOthers = tools.clock().nowMs() < leftToOthersUntilMs;
    return !stopping && !leftToOthers && follower.started() && !follower.failing();
  }

  private boolean mayClaim() {
    return rule.mayClaim(replica.table().term(), tools.clock().nowMs());
  }

  // The claim is appended only if nothing was appended since this host has read, and its own offset
  // gives the number of the term; so terms rise, and a repeat of a lost claim is the same claim.
  // The call's number is this process's own, or the store would take a rival's claim for such a
  // repeat.
  private void claim(long position) {
    rule.claimSent(tools.clock().nowMs(), tools.clock().limitMs());
    claimedTerm = OptionalLong.of(JobTable.termOfClaim(position));
    claimsHandedOver = replica.table().term().filter(LogContent.Term::released).isPresent();
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
        tools.loop(),
        (appended, failure) -> {
          claiming = false;
          if (failure == null) {
            won(JobTable.termOfClaim(appended.offset()));
          } else {
            claimFailed(position, LogFailure.of(failure));
          }
        });
  }

  // Any job that is accepted moves the log's end; waiting for the next tick would leave the term to
  // whoever happens to come at a quiet moment.
  private void claimFailed(long position, LogFailure failure) {
    tools
        .decisions()
        .note("claim-failed", field("position", position), field("cause", failure.kind()));
    if (failure.kind() == LogFailure.Kind.MOVED && claimRepeats < CLAIM_REPEATS) {
      claimRepeats++;
      claimIfFree();
    }
  }

  private void won(long term) {
    JobTable table = replica.table();
    boolean claimed = claimedTerm.equals(OptionalLong.of(term));
    if (rule.holds() || stopping || table.termNumber() > term || !claimed) {
      return;
    }
    rule.won(term);
    wonAtMs = tools.clock().nowMs();
    tools
        .decisions()
        .note(
            "term-won",
            field("term", term),
            field("jobs", table.jobs().size()),
            field("overlapMs", rule.overlapMs()));
    BatchDecider next =
        new BatchDecider(
            settings,
            tools,
            ports,
            rule,
            process.claimSequence() + 1,
            rule.overlapMs(),
            replica.paces(),
            () -> lose("the term was refused"));
    decider = Optional.of(next);
    next.setRules(rules);
    next.begin(table);
    ports.directory().open(next);
  }

  private void lose(String reason) {
    if (decider.isEmpty()) {
      return;
    }
    tools.decisions().note("term-lost", field("term", rule.term()), field("reason", reason));
    ports.directory().close();
    decider.get().end(reason);
    decider = Optional.empty();
    rule.lost(tools.clock().nowMs());
    acting = ActingTerm.NONE;
  }

  private LogEntry termEntry(long term, boolean released) {
    return LogEntry.of(
        LogKey.TERM,
        new LogContent.Term(settings.host(), settings.address(), process.name(), term, released));
  }
}
