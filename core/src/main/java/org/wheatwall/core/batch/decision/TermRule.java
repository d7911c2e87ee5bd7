package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LogContent;

/**
 * Decides when this host may claim the leadership term and until when it may act under it. Waiting
 * times are measured on the host's monotonic clock, which may stop; permission to act is measured
 * in lease times, which never fall behind.
 *
 * <p>Safety: a holder acts for {@link TermSettings#actMs} after it sent its last confirmed record.
 * Other hosts read that record after it was sent, and claim no earlier than {@link
 * TermSettings#silenceMs} after reading it, which is longer by more than the drift of two clocks.
 * They claim earlier in two cases: the holder reports that it has resigned, or it neither writes
 * records nor responds to queries. In the second case it may still act for {@link #overlapMs}, and
 * counts as an earlier decider until then. That is safe because every run it can start is in the
 * job log, and workers refuse its commands once they have seen the later term.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class TermRule {
  // Time to read the release and to claim, with a store that is some ten times slower than usual.
  private static final int SUCCESSOR_PRIORITY_MS = 1000;

  private final TermSettings settings;
  private final String host;
  private final String address;
  private final String incarnation;
  private long heldTerm;
  private long actUntilMs = Long.MIN_VALUE;
  private long silentSinceMs;
  private HolderStatus holderStatus = HolderStatus.UNKNOWN;
  private long claimSentLeaseTimeMs;
  private long overlapMs;

  /**
   * Creates the rule for a process.
   *
   * @param host name of this host
   * @param address address of this host, used by no other running process
   * @param incarnation identifier of this process
   */
  public TermRule(
      TermSettings settings, String host, String address, String incarnation, long nowMs) {
    this.settings = settings;
    this.host = host;
    this.address = address;
    this.incarnation = incarnation;
    this.silentSinceMs = nowMs;
  }

  /** Records that a record written by a decider was read. */
  public void onDeciderRecord(long nowMs) {
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether to query the holder of the latest term directly. */
  public boolean mayQueryHolder(Optional<LogContent.Term> latest, long nowMs) {
    boolean held = latest.filter(term -> !term.released()).isPresent();
    return heldTerm == 0 && held && nowMs - silentSinceMs >= settings.askMs();
  }

  /** Records the result of a query to the holder of the latest term. */
  public void onHolderQueried(HolderStatus next) {
    holderStatus = next;
  }

  /** Records that the log was unreadable until now, so that earlier silence does not count. */
  public void onOutageEnd(long nowMs) {
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether to claim the term, given the latest term record of the log read to its end. */
  public boolean mayClaim(Optional<LogContent.Term> latest, long nowMs) {
    if (heldTerm != 0) {
      return false;
    }
    if (isChosenSuccessor(latest)) {
      return true;
    }
    long silentMs = nowMs - silentSinceMs - settings.yieldMs();
    if (silentMs < 0) {
      return false;
    }
    if (latest.isEmpty()) {
      return true;
    }
    if (latest.get().released()) {
      return latest.get().successor().isEmpty() || silentMs >= SUCCESSOR_PRIORITY_MS;
    }
    boolean ownEarlierIncarnation =
        latest.get().address().equals(address) && !latest.get().incarnation().equals(incarnation);
    boolean unresponsive = holderStatus == HolderStatus.SILENT && silentMs >= settings.goneMs();
    boolean resigned = holderStatus == HolderStatus.RESIGNED && silentMs >= settings.askMs();
    return ownEarlierIncarnation || resigned || unresponsive || silentMs >= settings.silenceMs();
  }

  private boolean isChosenSuccessor(Optional<LogContent.Term> latest) {
    return latest
        .filter(LogContent.Term::released)
        .flatMap(LogContent.Term::successor)
        .filter(host::equals)
        .isPresent();
  }

  /**
   * Records that a claim is sent now. Its record is read later and then ends the silence.
   *
   * @param leaseTimeMs the same moment as lease time
   */
  public void onClaimSent(long nowMs, long leaseTimeMs) {
    boolean mayAct = holderStatus == HolderStatus.SILENT;
    claimSentLeaseTimeMs = leaseTimeMs;
    overlapMs = mayAct ? Math.max(0, settings.silenceMs() - (nowMs - silentSinceMs)) : 0;
  }

  /** Returns how long after the last claim the previous holder may have acted, milliseconds. */
  public long overlapMs() {
    return overlapMs;
  }

  /** Returns the status of the holder as last queried. */
  public HolderStatus holderStatus() {
    return holderStatus;
  }

  /** Records that the last claim won the term {@code term}. */
  public void onWon(long term) {
    heldTerm = term;
    actUntilMs = claimSentLeaseTimeMs + settings.actMs();
  }

  /** Records that a record of the held term, sent at lease time {@code sentMs}, was accepted. */
  public void onConfirmed(long sentMs) {
    actUntilMs = Math.max(actUntilMs, sentMs + settings.actMs());
  }

  /** Records that the term is lost or released. */
  public void onLost(long nowMs) {
    heldTerm = 0;
    actUntilMs = Long.MIN_VALUE;
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether a term is held that has to be released for lack of confirmed records. */
  public boolean isUnconfirmed(long leaseTimeMs) {
    return heldTerm != 0 && leaseTimeMs >= actUntilMs - settings.actMs() + settings.resignMs();
  }

  /** Returns whether this process holds a term, even if no record was confirmed lately. */
  public boolean holdsTerm() {
    return heldTerm != 0;
  }

  /** Returns whether commands may be sent at a lease time. */
  public boolean mayAct(long leaseTimeMs) {
    return heldTerm != 0 && leaseTimeMs < actUntilMs;
  }

  /** Returns the held term and the lease time before which commands may be sent under it. */
  public ActingTerm actingTerm() {
    return heldTerm == 0 ? ActingTerm.NONE : new ActingTerm(heldTerm, actUntilMs);
  }

  /** Returns the number of the held term, or 0 if none is held. */
  public long term() {
    return heldTerm;
  }
}
