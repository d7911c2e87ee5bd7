package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/** A term is held by one host at a time, measured on steady clocks that drift. */
final class TermRuleTest {
  private static final TermSettings TIMES = TermSettings.DEFAULT;

  private static Optional<LogContent.Term> heldBy(String address, String life, boolean released) {
    return Optional.of(new LogContent.Term("host", address, life, 7, released));
  }

  @Test
  void aFreeTermIsClaimedAtOnce() {
    TermRule rule = new TermRule(TIMES, "a", "life-1", 0);
    assertThat(rule.mayClaim(Optional.empty(), 0)).isTrue();
    assertThat(rule.mayClaim(heldBy("b", "other", true), 0)).isTrue();
  }

  @Test
  void aSilentHolderIsReplacedOnlyAfterItHasStopped() {
    TermRule holder = new TermRule(TIMES, "a", "life-1", 0);
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    holder.claimSent(1000, 1000);
    holder.won(7);
    rival.onDeciderRecord(1000);
    long claimAt = 1000;
    while (!rival.mayClaim(heldBy("a", "life-1", false), claimAt)) {
      claimAt++;
    }
    // The rival's clock may be 2% fast and the holder's 2% slow.
    long holderThen = 1000 + (long) ((claimAt - 1000) * 0.98 * 0.98);
    assertThat(holder.mayAct(holderThen)).isFalse();
  }

  @Test
  void aWeakHostLetsStrongOnesClaimFirst() {
    TermRule weak = new TermRule(TIMES.withYieldMs(400), "a", "life-1", 0);
    assertThat(weak.mayClaim(Optional.empty(), 399)).isFalse();
    assertThat(weak.mayClaim(Optional.empty(), 400)).isTrue();
    weak.onDeciderRecord(1000);
    assertThat(weak.mayClaim(heldBy("b", "other", true), 1399)).isFalse();
    assertThat(weak.mayClaim(heldBy("b", "other", true), 1400)).isTrue();
    long silent = 1000L + TIMES.silenceMs();
    assertThat(weak.mayClaim(heldBy("b", "other", false), silent + 399)).isFalse();
    assertThat(weak.mayClaim(heldBy("b", "other", false), silent + 400)).isTrue();
  }

  @Test
  void silenceDuringAnOutageDoesNotCount() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onOutageEnd(50_000);
    assertThat(rival.mayClaim(heldBy("a", "life-1", false), 50_001)).isFalse();
  }

  @Test
  void aRestartedHolderNeedNotWaitForItsEarlierLife() {
    TermRule rule = new TermRule(TIMES, "a", "life-2", 0);
    assertThat(rule.mayClaim(heldBy("a", "life-1", false), 1)).isTrue();
    assertThat(rule.mayClaim(heldBy("a", "life-2", false), 1)).isFalse();
  }

  private static long firstClaim(TermRule rival, long fromMs) {
    long claimAt = fromMs;
    while (!rival.mayClaim(heldBy("a", "life-1", false), claimAt)) {
      claimAt++;
    }
    return claimAt;
  }

  @Test
  void aHolderThatIsWellIsNotAsked() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", false), 1000 + TIMES.renewMs() + 200))
        .isFalse();
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", false), 1000 + TIMES.askMs())).isTrue();
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", true), 1000 + TIMES.askMs())).isFalse();
    assertThat(rival.mayQueryHolder(Optional.empty(), 1000 + TIMES.askMs())).isFalse();
  }

  @Test
  void aHolderThatSaysItGaveUpIsReplacedAtOnce() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.RESIGNED);
    assertThat(firstClaim(rival, 1900)).isEqualTo(1900);
    rival.claimSent(1900, 1900);
    assertThat(rival.overlapMs()).isEqualTo(0);
  }

  @Test
  void aHolderThatAnswersKeepsItsWholeTime() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.ACTING);
    assertThat(firstClaim(rival, 1000)).isEqualTo(1000 + TIMES.silenceMs());
  }

  // It may be cut off only, and act on: its leases count from the last moment at which it can.
  @Test
  void aHolderThatDoesNotAnswerIsReplacedEarlierAndCountsAsActingUntilItsTimeIsOver() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.SILENT);
    long claimAt = firstClaim(rival, 1000);
    assertThat(claimAt).isEqualTo(1000 + TIMES.goneMs());
    rival.claimSent(claimAt, claimAt);
    // The record of the claim itself is read before the claim is known to have won.
    rival.onDeciderRecord(claimAt + 5);
    rival.won(8);
    TermRule holder = new TermRule(TIMES, "a", "life-1", 0);
    holder.claimSent(1000, 1000);
    holder.won(7);
    long over = 1000 + (long) ((claimAt + rival.overlapMs() - 1000) * 0.98 * 0.98);
    assertThat(holder.mayAct(over)).isFalse();
  }

  @Test
  void aSignCountsUntilTheNextRecordOnly() {
    TermRule rival = new TermRule(TIMES, "b", "life-2", 0);
    rival.onHolderQueried(HolderStatus.RESIGNED);
    rival.onDeciderRecord(1000);
    assertThat(rival.mayClaim(heldBy("a", "life-1", false), 1500)).isFalse();
  }

  @Test
  void aHolderIsUnconfirmedOnceItsLastRecordIsOld() {
    TermRule holder = new TermRule(TIMES, "a", "life-1", 0);
    holder.claimSent(1000, 1000);
    holder.won(7);
    assertThat(holder.isUnconfirmed(1000 + TIMES.resignMs() - 1)).isFalse();
    assertThat(holder.isUnconfirmed(1000 + TIMES.resignMs())).isTrue();
    holder.confirmed(1500);
    assertThat(holder.isUnconfirmed(1000 + TIMES.resignMs())).isFalse();
  }

  @Test
  void confirmationCountsFromWhenItWasSent() {
    TermRule rule = new TermRule(TIMES, "a", "life-1", 0);
    rule.claimSent(1000, 1000);
    rule.won(7);
    rule.confirmed(2000);
    assertThat(rule.mayAct(2000 + TIMES.actMs() - 1)).isTrue();
    assertThat(rule.mayAct(2000 + TIMES.actMs())).isFalse();
    rule.confirmed(1500);
    assertThat(rule.mayAct(2000 + TIMES.actMs() - 1)).isTrue();
  }

  @Test
  void aLostTermGivesNoLeave() {
    TermRule rule = new TermRule(TIMES, "a", "life-1", 0);
    rule.claimSent(1000, 1000);
    rule.won(7);
    rule.lost(1100);
    assertThat(rule.mayAct(1101)).isFalse();
    assertThat(rule.holdsTerm()).isFalse();
  }
}
