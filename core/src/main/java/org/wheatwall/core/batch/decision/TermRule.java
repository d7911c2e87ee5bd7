package org.wheatwall.core.batch.decision;

import java.util.Optional;
import org.wheatwall.core.batch.model.LogContent;

/**
 * When this host may claim the right to decide, and how long it may act on it. All times are of the
 * host's steady clock.
 *
 * <p>Safety: a holder acts for {@link TermSettings#actMs} from the sending of its last confirmed
 * record. Others see that record later than it was sent, and claim no earlier than {@link
 * TermSettings#silenceMs} after they saw it, which is longer by more than the drift of two clocks.
 *
 * <p>Not thread-safe; the decision loop owns it.
 */
public final class TermRule {
  private final TermSettings settings;
  private final String address;
  private final String life;
  private long heldTerm;
  private long actUntilMs = Long.MIN_VALUE;
  private long quietSinceMs;

  /**
   * Creates the rule for a process.
   *
   * @param address address of this host, which no other living process has
   * @param life identifier of this process
   */
  public TermRule(TermSettings settings, String address, String life, long nowMs) {
    this.settings = settings;
    this.address = address;
    this.life = life;
    this.quietSinceMs = nowMs;
  }

  /** Notes that a record of some decider was read. */
  public void sawDecider(long nowMs) {
    quietSinceMs = nowMs;
  }

  /** Notes that the log could not be read until now, so that silence means nothing. */
  public void sawOutageEnd(long nowMs) {
    quietSinceMs = nowMs;
  }

  /** Returns whether to claim, given what the log says up to its end. */
  public boolean mayClaim(Optional<LogContent.Term> latest, long nowMs) {
    if (heldTerm != 0) {
      return false;
    }
    long quietMs = nowMs - quietSinceMs - settings.yieldMs();
    if (quietMs < 0) {
      return false;
    }
    if (latest.isEmpty() || latest.get().released()) {
      return true;
    }
    boolean ownEarlierLife =
        latest.get().address().equals(address) && !latest.get().life().equals(life);
    return ownEarlierLife || quietMs >= settings.silenceMs();
  }

  /** Notes that the claim sent at {@code sentMs} has become the term {@code term}. */
  public void won(long term, long sentMs) {
    heldTerm = term;
    actUntilMs = sentMs + settings.actMs();
  }

  /** Notes that a record of the held term, sent at {@code sentMs}, was accepted. */
  public void confirmed(long sentMs) {
    actUntilMs = Math.max(actUntilMs, sentMs + settings.actMs());
  }

  /** Notes that the term is lost or given up. */
  public void lost(long nowMs) {
    heldTerm = 0;
    actUntilMs = Long.MIN_VALUE;
    quietSinceMs = nowMs;
  }

  /** Returns whether this process holds a term, confirmed lately or not. */
  public boolean holds() {
    return heldTerm != 0;
  }

  /** Returns whether orders may be given now. */
  public boolean mayAct(long nowMs) {
    return heldTerm != 0 && nowMs < actUntilMs;
  }

  /** Returns the number of the held term, 0 if none. */
  public long term() {
    return heldTerm;
  }
}
