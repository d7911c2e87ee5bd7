package org.wheatwall.core.membership.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;

/**
 * A member acts in a new view without waiting only if every member of the older view is known to
 * have stopped acting in it. Guards against acting at the same time as a silent member of the older
 * view, and against waiting for a member that has announced its retirement.
 */
final class ViewLeaseTest {
  private static final long CONFIRMATION_MS = 1500;
  private static final Member A = new Member("a", 1, "127.0.0.1:1");
  private static final Member B = new Member("b", 1, "127.0.0.1:2");
  private static final Member C = new Member("c", 1, "127.0.0.1:3");
  private static final Member D = new Member("d", 1, "127.0.0.1:4");

  private final ViewLease lease = new ViewLease(A.id(), CONFIRMATION_MS);

  private void actInViewOfThree() {
    lease.install(1, new ZoneView(Labels.NONE, List.of(A, B, C), List.of(), true), 0);
    lease.tick(10);
    lease.onConfirmation(B.id(), 1, true, 10);
    lease.onConfirmation(C.id(), 1, true, 10);
    assertThat(lease.mayAct(20)).isTrue();
  }

  private void removeC(long nowMs) {
    ZoneView next = new ZoneView(Labels.NONE, List.of(A, B), List.of(A, B, C), false);
    lease.install(2, next, nowMs);
    lease.onConfirmation(B.id(), 2, false, nowMs);
  }

  @Test
  void confirmationOfASilentOlderMemberMustExpire() {
    actInViewOfThree();
    removeC(100);
    lease.tick(1000);
    lease.onConfirmation(B.id(), 2, false, 1000);
    assertThat(lease.mayAct(1000)).isFalse();
    lease.tick(100 + CONFIRMATION_MS);
    lease.onConfirmation(B.id(), 2, false, 100 + CONFIRMATION_MS);
    assertThat(lease.mayAct(100 + CONFIRMATION_MS)).isTrue();
  }

  // The clock stopped during the suspension, so the confirmations appeared to be still valid.
  @Test
  void confirmationsFromBeforeASuspensionAreInvalid() {
    actInViewOfThree();
    lease.onSuspended();
    assertThat(lease.mayAct(30)).isFalse();
    lease.onConfirmation(B.id(), 1, true, 40);
    lease.onConfirmation(C.id(), 1, true, 40);
    assertThat(lease.mayAct(50)).isFalse();
    lease.onVerified();
    assertThat(lease.mayAct(50)).isTrue();
  }

  @Test
  void retiredMemberIsNotWaitedFor() {
    actInViewOfThree();
    lease.onRetired(C.id());
    removeC(100);
    assertThat(lease.mayAct(101)).isTrue();
  }

  // Guards against waiting for the full confirmation time if a view follows before the one before
  // it is confirmed.
  @Test
  void successiveViewsEndOnceAllTheirMembersHaveConfirmedOrRetired() {
    actInViewOfThree();
    lease.onRetired(C.id());
    lease.install(2, new ZoneView(Labels.NONE, List.of(A, B), List.of(A, B, C), false), 100);
    lease.install(3, new ZoneView(Labels.NONE, List.of(A, B, D), List.of(A, B), false), 110);
    lease.onConfirmation(B.id(), 3, false, 120);
    assertThat(lease.mayAct(121)).isFalse();
    lease.onConfirmation(D.id(), 3, false, 130);
    assertThat(lease.mayAct(131)).isTrue();
  }

  @Test
  void confirmationOfASilentMemberOfAnEarlierViewMustExpire() {
    actInViewOfThree();
    lease.install(2, new ZoneView(Labels.NONE, List.of(A, B), List.of(A, B, C), false), 100);
    lease.install(3, new ZoneView(Labels.NONE, List.of(A, B, D), List.of(A, B), false), 110);
    lease.onConfirmation(B.id(), 3, false, 120);
    lease.onConfirmation(D.id(), 3, false, 130);
    assertThat(lease.mayAct(131)).isFalse();
  }

  @Test
  void confirmationsOfMissedViewsMustExpire() {
    actInViewOfThree();
    lease.install(4, new ZoneView(Labels.NONE, List.of(A, B), List.of(A, B, D), false), 100);
    lease.onConfirmation(B.id(), 4, false, 120);
    lease.onRetired(D.id());
    assertThat(lease.mayAct(121)).isFalse();
  }

  @Test
  void replacementOfARetiredMemberMustConfirm() {
    actInViewOfThree();
    lease.onRetired(C.id());
    removeC(100);
    Member replacement = new Member("c", 2, "127.0.0.1:3");
    ZoneView next = new ZoneView(Labels.NONE, List.of(A, B, replacement), List.of(A, B), false);
    lease.install(3, next, 200);
    lease.onConfirmation(B.id(), 3, false, 200);
    assertThat(lease.mayAct(201)).isFalse();
    assertThat(lease.needsConfirmationFrom(replacement.id())).isTrue();
  }

  @Test
  void proposerOmitsARetiredMemberThatStillSendsMessages() {
    ViewProposer proposer = new ViewProposer(A, 1200);
    ZoneView view = new ZoneView(Labels.NONE, List.of(A, B), List.of(), true);
    proposer.propose(Optional.of(view), Set.of(), 0);
    proposer.onRetired(B.id());
    proposer.onMessage(B, 10);
    Optional<ZoneView> next = proposer.propose(Optional.of(view), Set.of(), 20);
    assertThat(next.map(ZoneView::members)).hasValue(List.of(A));
  }
}
