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
 * A member is removed from the next view once it has sent no message for the suspect time, and not
 * before it could send one.
 */
final class ViewProposerTest {
  private static final long SUSPECT_MS = 1200;
  private static final long MAX_STAGGER_MS = 1000;
  private static final Member A = new Member("a", 1, "127.0.0.1:1");
  private static final Member B = new Member("b", 1, "127.0.0.1:2");
  private static final Member C = new Member("c", 1, "127.0.0.1:3");

  private final ViewProposer proposer = new ViewProposer(A, SUSPECT_MS);

  private Optional<ZoneView> propose(List<Member> members, long nowMs) {
    ZoneView view = new ZoneView(Labels.NONE, members, List.of(), true);
    return proposer.propose(Optional.of(view), Set.of(), nowMs);
  }

  private void runFor(List<Member> members, long fromMs, long untilMs) {
    for (long now = fromMs; now < untilMs; now += 250) {
      proposer.onMessage(B, now);
      assertThat(propose(members, now)).isEmpty();
    }
  }

  // A member that was removed at once joined again: three views within 0.3 s, and calls blocked for
  // 2 s.
  @Test
  void newMemberAdmittedByAnotherHostIsNotRemovedAtOnce() {
    runFor(List.of(A, B), 0, 10_000);
    runFor(List.of(A, B, C), 10_000, 10_000 + SUSPECT_MS);
  }

  @Test
  void memberThatNeverSendsIsRemoved() {
    runFor(List.of(A, B), 0, 10_000);
    runFor(List.of(A, B, C), 10_000, 10_000 + SUSPECT_MS);
    proposer.onMessage(B, 12_000);
    propose(List.of(A, B, C), 12_000);
    proposer.onMessage(B, 12_000 + MAX_STAGGER_MS);
    Optional<ZoneView> next = propose(List.of(A, B, C), 12_000 + MAX_STAGGER_MS);
    assertThat(next.map(ZoneView::members)).hasValue(List.of(A, B));
  }

  @Test
  void memberThatStopsSendingIsRemoved() {
    runFor(List.of(A, B), 0, 10_000);
    propose(List.of(A, B), 10_000 + SUSPECT_MS);
    Optional<ZoneView> next = propose(List.of(A, B), 10_000 + SUSPECT_MS + MAX_STAGGER_MS);
    assertThat(next.map(ZoneView::members)).hasValue(List.of(A));
  }
}
