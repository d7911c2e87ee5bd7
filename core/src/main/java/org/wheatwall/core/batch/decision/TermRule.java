package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LogContent;

/**
 * When this host may claim the right to decide, and how long it may act on it. What it waits for is
 * measured on the host's steady clock, which may stand still; what it may do itself, by limit
 * times, which never fall behind.
 *
 * <p>Safety: a holder acts for {@link TermSettings#actMs} from the sending of its last confirmed
 * record. Others see that record later than it was sent, and claim no earlier than {@link
 * TermSettings#silenceMs} after they saw it, which is longer by more than the drift of two clocks.
 * Two signs let them claim earlier: the holder says that it has given up, or it neither writes nor
 * answers. In the second case it may act for {@link #overlapMs} more, and counts as an earlier
 * decider until then: what it can start is in the log, and workers refuse it once they have seen
 * the later term.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class TermRule {
  private final TermSettings settings;
  private final String address;
  private final String incarnation;
  private long heldTerm;
  private long actUntilMs = Long.MIN_VALUE;
  private long silentSinceMs;
  private HolderStatus holderStatus = HolderStatus.UNKNOWN;
  private long claimSentLimitMs;
  private long overlapMs;

  /**
   * Creates the rule for a process.
   *
   * @param address address of this host, which no other living process has
   * @param life identifier of this process
   */
  public TermRule(TermSettings settings, String address, String life, long nowMs) {
    this.settings = settings;
    this.address = address;
    this.incarnation = life;
    this.silentSinceMs = nowMs;
  }

  /** Notes that a record of some decider was read. */
  public void onDeciderRecord(long nowMs) {
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether to ask the holder of the latest term directly. */
  public boolean mayQueryHolder(Optional<LogContent.Term> latest, long nowMs) {
    boolean held = latest.filter(term -> !term.released()).isPresent();
    return heldTerm == 0 && held && nowMs - silentSinceMs >= settings.askMs();
  }

  /** Notes what came of asking the holder of the latest term. */
  public void onHolderQueried(HolderStatus next) {
    holderStatus = next;
  }

  /** Notes that the log could not be read until now, so that silence means nothing. */
  public void onOutageEnd(long nowMs) {
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether to claim, given what the log says up to its end. */
  public boolean mayClaim(Optional<LogContent.Term> latest, long nowMs) {
    if (heldTerm != 0) {
      return false;
    }
    long quietMs = nowMs - silentSinceMs - settings.yieldMs();
    if (quietMs < 0) {
      return false;
    }
    if (latest.isEmpty() || latest.get().released()) {
      return true;
    }
    boolean ownEarlierLife =
        latest.get().address().equals(address) && !latest.get().incarnation().equals(incarnation);
    boolean gone = holderStatus == HolderStatus.SILENT && quietMs >= settings.goneMs();
    boolean resigned = holderStatus == HolderStatus.RESIGNED && quietMs >= settings.askMs();
    return ownEarlierLife || resigned || gone || quietMs >= settings.silenceMs();
  }

  /**
   * Notes that a claim is sent now. Its own record is read later, and ends the silence.
   *
   * @param limitMs the same moment as limit time
   */
  public void claimSent(long nowMs, long limitMs) {
    boolean mayAct = holderStatus == HolderStatus.SILENT;
    claimSentLimitMs = limitMs;
    overlapMs = mayAct ? Math.max(0, settings.silenceMs() - (nowMs - silentSinceMs)) : 0;
  }

  /** Returns how long after the last claim the holder before may have acted, milliseconds. */
  public long overlapMs() {
    return overlapMs;
  }

  /** Returns what was last found out about the holder. */
  public HolderStatus holderStatus() {
    return holderStatus;
  }

  /** Notes that the last claim has become the term {@code term}. */
  public void won(long term) {
    heldTerm = term;
    actUntilMs = claimSentLimitMs + settings.actMs();
  }

  /** Notes that a record of the held term, sent at limit time {@code sentMs}, was accepted. */
  public void confirmed(long sentMs) {
    actUntilMs = Math.max(actUntilMs, sentMs + settings.actMs());
  }

  /** Notes that the term is lost or given up. */
  public void lost(long nowMs) {
    heldTerm = 0;
    actUntilMs = Long.MIN_VALUE;
    silentSinceMs = nowMs;
    holderStatus = HolderStatus.UNKNOWN;
  }

  /** Returns whether a term is held of which nothing was confirmed for too long to be kept. */
  public boolean isUnconfirmed(long limitMs) {
    return heldTerm != 0 && limitMs >= actUntilMs - settings.actMs() + settings.resignMs();
  }

  /** Returns whether this process holds a term, confirmed lately or not. */
  public boolean holdsTerm() {
    return heldTerm != 0;
  }

  /** Returns whether orders may be given at a limit time. */
  public boolean mayAct(long limitMs) {
    return heldTerm != 0 && limitMs < actUntilMs;
  }

  /** Returns the held term, and until when orders may be given under it. */
  public ActingTerm actingTerm() {
    return heldTerm == 0 ? ActingTerm.NONE : new ActingTerm(heldTerm, actUntilMs);
  }

  /** Returns the number of the held term, 0 if none. */
  public long term() {
    return heldTerm;
  }
}
