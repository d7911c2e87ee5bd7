package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.LogContent;

/** A term is held by one host at a time, even though the hosts' monotonic clocks drift. */
final class TermRuleTest {
  private static final TermSettings SETTINGS = TermSettings.DEFAULT;

  private static Optional<LogContent.Term> heldBy(
      String address, String incarnation, boolean released) {
    return Optional.of(new LogContent.Term("host", address, incarnation, 7, released));
  }

  @Test
  void aFreeTermMayBeClaimedAtOnce() {
    TermRule rule = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    assertThat(rule.mayClaim(Optional.empty(), 0)).isTrue();
    assertThat(rule.mayClaim(heldBy("b", "other", true), 0)).isTrue();
  }

  @Test
  void aSilentHolderIsReplacedOnlyAfterItHasStopped() {
    TermRule holder = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    holder.onClaimSent(1000, 1000);
    holder.onWon(7);
    rival.onDeciderRecord(1000);
    long claimAt = 1000;
    while (!rival.mayClaim(heldBy("a", "life-1", false), claimAt)) {
      claimAt++;
    }
    // The rival's clock may be 2% fast and the holder's 2% slow.
    long holderClockMs = 1000 + (long) ((claimAt - 1000) * 0.98 * 0.98);
    assertThat(holder.mayAct(holderClockMs)).isFalse();
  }

  @Test
  void aWeakHostLetsStrongOnesClaimFirst() {
    TermRule slow = new TermRule(SETTINGS.withYieldMs(400), "host-a", "a", "life-1", 0);
    assertThat(slow.mayClaim(Optional.empty(), 399)).isFalse();
    assertThat(slow.mayClaim(Optional.empty(), 400)).isTrue();
    slow.onDeciderRecord(1000);
    assertThat(slow.mayClaim(heldBy("b", "other", true), 1399)).isFalse();
    assertThat(slow.mayClaim(heldBy("b", "other", true), 1400)).isTrue();
    long silenceEndMs = 1000L + SETTINGS.silenceMs();
    assertThat(slow.mayClaim(heldBy("b", "other", false), silenceEndMs + 399)).isFalse();
    assertThat(slow.mayClaim(heldBy("b", "other", false), silenceEndMs + 400)).isTrue();
  }

  @Test
  void silenceDuringAnOutageDoesNotCount() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onOutageEnd(50_000);
    assertThat(rival.mayClaim(heldBy("a", "life-1", false), 50_001)).isFalse();
  }

  @Test
  void aRestartedHolderNeedNotWaitForItsEarlierProcess() {
    TermRule rule = new TermRule(SETTINGS, "host-a", "a", "life-2", 0);
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
  void aHealthyHolderIsNotQueried() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", false), 1000 + SETTINGS.renewMs() + 200))
        .isFalse();
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", false), 1000 + SETTINGS.askMs()))
        .isTrue();
    assertThat(rival.mayQueryHolder(heldBy("a", "life-1", true), 1000 + SETTINGS.askMs()))
        .isFalse();
    assertThat(rival.mayQueryHolder(Optional.empty(), 1000 + SETTINGS.askMs())).isFalse();
  }

  @Test
  void aHolderThatReportsItsResignationIsReplacedAtOnce() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.RESIGNED);
    assertThat(firstClaim(rival, 1900)).isEqualTo(1900);
    rival.onClaimSent(1900, 1900);
    assertThat(rival.overlapMs()).isEqualTo(0);
  }

  @Test
  void aHolderThatRespondsKeepsItsFullTime() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.ACTING);
    assertThat(firstClaim(rival, 1000)).isEqualTo(1000 + SETTINGS.silenceMs());
  }

  // The holder may be partitioned and still act: its leases count from the last moment at which it
  // can.
  @Test
  void anUnresponsiveHolderIsReplacedEarlierAndCountsAsActingUntilItsTimeIsOver() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onDeciderRecord(1000);
    rival.onHolderQueried(HolderStatus.SILENT);
    long claimAt = firstClaim(rival, 1000);
    assertThat(claimAt).isEqualTo(1000 + SETTINGS.goneMs());
    rival.onClaimSent(claimAt, claimAt);
    // The record of the claim itself is read before the claim is known to have won.
    rival.onDeciderRecord(claimAt + 5);
    rival.onWon(8);
    TermRule holder = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    holder.onClaimSent(1000, 1000);
    holder.onWon(7);
    long overlapEndMs = 1000 + (long) ((claimAt + rival.overlapMs() - 1000) * 0.98 * 0.98);
    assertThat(holder.mayAct(overlapEndMs)).isFalse();
  }

  @Test
  void aHolderStatusCountsUntilTheNextRecordOnly() {
    TermRule rival = new TermRule(SETTINGS, "host-b", "b", "life-2", 0);
    rival.onHolderQueried(HolderStatus.RESIGNED);
    rival.onDeciderRecord(1000);
    assertThat(rival.mayClaim(heldBy("a", "life-1", false), 1500)).isFalse();
  }

  @Test
  void aHolderIsUnconfirmedOnceItsLastRecordIsOld() {
    TermRule holder = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    holder.onClaimSent(1000, 1000);
    holder.onWon(7);
    assertThat(holder.isUnconfirmed(1000 + SETTINGS.resignMs() - 1)).isFalse();
    assertThat(holder.isUnconfirmed(1000 + SETTINGS.resignMs())).isTrue();
    holder.onConfirmed(1500);
    assertThat(holder.isUnconfirmed(1000 + SETTINGS.resignMs())).isFalse();
  }

  @Test
  void aConfirmationCountsFromTheSendingOfItsRecord() {
    TermRule rule = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    rule.onClaimSent(1000, 1000);
    rule.onWon(7);
    rule.onConfirmed(2000);
    assertThat(rule.mayAct(2000 + SETTINGS.actMs() - 1)).isTrue();
    assertThat(rule.mayAct(2000 + SETTINGS.actMs())).isFalse();
    rule.onConfirmed(1500);
    assertThat(rule.mayAct(2000 + SETTINGS.actMs() - 1)).isTrue();
  }

  @Test
  void aLostTermAllowsNoCommands() {
    TermRule rule = new TermRule(SETTINGS, "host-a", "a", "life-1", 0);
    rule.onClaimSent(1000, 1000);
    rule.onWon(7);
    rule.onLost(1100);
    assertThat(rule.mayAct(1101)).isFalse();
    assertThat(rule.holdsTerm()).isFalse();
  }

  // Any other host may be unable to reach the workers.
  @Test
  void aReleasedTermIsLeftToItsChosenSuccessorForASecond() {
    Optional<LogContent.Term> released =
        Optional.of(new LogContent.Term("host-b", "b", "other", 7, true, Optional.of("host-a")));
    TermRule successor = new TermRule(SETTINGS.withYieldMs(400), "host-a", "a", "life-1", 0);
    TermRule another = new TermRule(SETTINGS, "host-c", "c", "life-3", 0);
    successor.onDeciderRecord(1000);
    another.onDeciderRecord(1000);
    assertThat(successor.mayClaim(released, 1000)).isTrue();
    assertThat(another.mayClaim(released, 1999)).isFalse();
    assertThat(another.mayClaim(released, 2000)).isTrue();
  }
}
