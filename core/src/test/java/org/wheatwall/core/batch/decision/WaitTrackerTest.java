package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;

/** Groups that wait for long are logged with the reason, without a query by an operator. */
final class WaitTrackerTest {
  private static final int JOBS = 12;

  private final SupervisorFixture fixture = new SupervisorFixture();

  private List<RunEvent> waitEvents() {
    return fixture.effects.events.stream()
        .filter(event -> event.kind() == RunEvent.Kind.GROUP_WAITS)
        .toList();
  }

  private void submitToFullWorkers(int jobs) {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    fixture.resolveStarts(CommandOutcome.DONE);
    for (int i = 0; i < jobs; i++) {
      String id = String.format("%016x", i + 1);
      fixture.accept(SupervisorFixture.job(id, SupervisorFixture.tasks(1, 8)));
    }
  }

  @Test
  void intervalBetweenLogLinesOfAWaitingGroupGrows() {
    submitToFullWorkers(1);
    fixture.advance(2900);
    assertThat(waitEvents()).isEmpty();
    fixture.advance(17_100);
    assertThat(waitEvents()).hasSize(3);
    assertThat(waitEvents().get(0).subject()).isEqualTo("0000000000000001.0.0.0");
    assertThat(waitEvents().get(0).reason()).contains("NO_FREE_CAPACITY, 0 accelerators free");
  }

  @Test
  void logLineCountsGroupsWithTheSameReasonAndWorkerStates() {
    submitToFullWorkers(JOBS);
    fixture.supervisor.listWorker(SupervisorFixture.info("silent", "r"), fixture.nowMs);
    fixture.advance(5000);
    assertThat(waitEvents().get(0).reason()).contains("11 of 12 groups wait for the same");
    assertThat(waitEvents().get(0).reason()).contains("workers 1 usable, 1 not heard");
  }

  // Otherwise the line does not tell whether the group is held back for a share that is in use or
  // for one that is only believed to be.
  @Test
  void logLineNamesTheShareInUseAndWhatIsHeldAtWorkersThatAreNotHeard() {
    submitToFullWorkers(1);
    fixture.advance(4000);
    assertThat(waitEvents().get(0).reason())
        .endsWith(
            "98.6% of the capacity counts as in use, 0.0% is held at workers that are not heard");
    fixture.supervisor.onWorkerUnreachable("a", "silent", fixture.nowMs);
    fixture.advance(4000);
    assertThat(waitEvents().get(1).reason())
        .endsWith(
            "0.0% of the capacity counts as in use, 98.6% is held at workers that are not heard");
  }

  // Such groups have not been looked at and stand beside usable workers.
  @Test
  void logLineNamesUnknownEvacuationsAsWhatHoldsUpEveryStart() {
    fixture.listWorker("a", "r");
    fixture.supervisor.setEvacuatedZones(Optional.empty(), fixture.nowMs);
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    fixture.advance(4000);
    assertThat(waitEvents().get(0).reason())
        .contains("nothing starts: the evacuated zones are not known");
  }

  @Test
  void numberOfGroupsLoggedPerScanIsLimited() {
    submitToFullWorkers(JOBS);
    fixture.advance(4000);
    assertThat(waitEvents()).hasSize(5);
  }

  @Test
  void summaryCountsWaitingGroupsAndUsableWorkers() {
    submitToFullWorkers(JOBS);
    fixture.advance(4000);
    WaitSummary summary = fixture.supervisor.waitSummary();
    assertThat(summary.groups()).isEqualTo(JOBS);
    assertThat(summary.longestMs()).isAtLeast(3000L);
    assertThat(summary.usableWorkers()).isEqualTo(1);
    assertThat(summary.listedWorkers()).isEqualTo(1);
  }

  // Otherwise a group whose runs are abandoned before they begin has no line, however long it
  // stands.
  @Test
  void waitGoesOnWhileRunsAreAbandonedBeforeTheyBegin() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    for (int i = 0; i < 40; i++) {
      fixture.resolveStarts(CommandOutcome.NOT_DONE);
      fixture.advance(100);
    }
    assertThat(fixture.effects.starts).isNotEmpty();
    assertThat(waitEvents()).isNotEmpty();
    assertThat(waitEvents().get(0).reason()).startsWith("for 3");
  }

  @Test
  void runThatNoWorkerConfirmsIsLogged() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    fixture.advance(4000);
    assertThat(waitEvents().get(0).reason()).contains("RUN_NOT_STARTED, run 1");
    assertThat(waitEvents().get(0).reason()).contains("a=ORDERED");
  }

  // Otherwise the line does not tell a start that is late from a worker that is gone.
  @Test
  void lineOfARunNamesTheSilenceOfItsWorkerAndWhenItIsGivenUp() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    fixture.supervisor.onLeaseSent("a", fixture.nowMs);
    fixture.supervisor.onWorkerUnreachable("a", "silent", fixture.nowMs);
    fixture.supervisor.unlistWorker("a", fixture.nowMs);
    fixture.advance(4000);
    assertThat(waitEvents().get(0).reason())
        .containsMatch("a=ORDERED \\(unlisted, heard \\d+ ms ago, given up in \\d+ ms\\)");
  }

  @Test
  void waitBeginsAnewAfterATaskHasRun() {
    fixture.listWorker("a", "r");
    fixture.accept(SupervisorFixture.job(SupervisorFixture.tasks(1, 8)));
    fixture.resolveStarts(CommandOutcome.DONE);
    fixture.advance(5000);
    assertThat(waitEvents()).isEmpty();
  }
}
