package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static org.wheatwall.core.job.decision.ShareFixture.HALF;
import static org.wheatwall.core.job.decision.ShareFixture.HOST;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whose work is stopped for urgent work if workspaces compete. */
final class ShareVictimsTest {
  private final ShareFixture fixture = ShareFixture.withShares(2);

  // Workspace "large" holds three halves of hosts, "small" one.
  @BeforeEach
  void addGuarantee() {
    fixture.scheduler.setUrgentGuarantees(Map.of("urgent", 4));
  }

  private List<String> stoppedForUrgentWork(String name) {
    fixture.scheduler.submit(name, ShareFixture.job("urgent", 1, HALF, true), fixture.nowMs);
    return fixture.scheduler.decide(fixture.nowMs).stream()
        .filter(Decision.Stop.class::isInstance)
        .map(decision -> ((Decision.Stop) decision).attemptId())
        .toList();
  }

  private void fill(long largeRanMs, long smallRanMs) {
    fixture.adopt("large-1", "large", HOST, "host-1", 60_000);
    fixture.adopt("large-2", "large", HALF, "host-0", largeRanMs);
    fixture.adopt("small", "small", HALF, "host-0", smallRanMs);
  }

  @Test
  void theWorkspaceAboveItsSharePaysIfAboutAsMuchIsLost() {
    fill(1500, 1000);
    assertThat(stoppedForUrgentWork("new")).containsExactly("run-large-2");
  }

  // Guards against sorting by share first: a run of ten seconds was stopped instead of one that had
  // just begun.
  @Test
  void aNearlyFreeVictimIsStoppedWhateverItsWorkspaceHolds() {
    fill(10_000, 100);
    assertThat(stoppedForUrgentWork("new")).containsExactly("run-small");
  }

  @Test
  void theWorkspaceThatPaysIsCounted() {
    fill(1500, 1000);
    stoppedForUrgentWork("new");
    WorkspaceShareStatus status = fixture.scheduler.workspaceShareStatus().orElseThrow();
    assertThat(status.stops()).isEqualTo(1);
    assertThat(status.stopsAboveShare()).isEqualTo(1);
  }

  // Guards against a job that is always the cheapest to stop, because it was just started again.
  @Test
  void aJobThatWasStoppedTwiceIsSparedWhileOthersCanBeStopped() {
    fixture.adopt("dear", "small", HOST, "host-1", 60_000);
    fixture.adopt("other", "small", HALF, "host-0", 5000);
    for (int round = 1; round <= StopLimit.MAX_STOPS; round++) {
      fixture.adopt("cheap", "small", HALF, "host-0", 100);
      assertThat(stoppedForUrgentWork("new-" + round)).containsExactly("run-cheap");
      fixture.scheduler.attemptEnded("run-cheap", EndReason.INTERRUPTED, fixture.nowMs);
      fixture.end("new-" + round);
    }
    fixture.adopt("cheap", "small", HALF, "host-0", 100);
    assertThat(stoppedForUrgentWork("last")).containsExactly("run-other");
  }

  @Test
  void aJobThatWasStoppedTwiceIsStoppedIfNothingElseCanBe() {
    fixture.scheduler.cluster().remove("host-1");
    for (int round = 1; round <= StopLimit.MAX_STOPS + 1; round++) {
      fixture.adopt("only", "small", HOST, "host-0", 1000);
      assertThat(stoppedForUrgentWork("new-" + round)).containsExactly("run-only");
      fixture.scheduler.attemptEnded("run-only", EndReason.INTERRUPTED, fixture.nowMs);
      fixture.end("new-" + round);
    }
  }
}
