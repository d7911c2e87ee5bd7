package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchState;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StartCommand;

/** What a new decider makes of runs that others have written down, and of silent workers. */
final class TermTakeOverTest extends OneJobScenario {
  // The worker lives, so it can still report that the run was done: started again, it would run
  // twice although it was done.
  @Test
  void aSilentWorkerThatIsStillListedIsWaitedForBeyondItsLeases() {
    adoptActiveOn("a");
    listSilentWorker("a");
    listWorker("b");
    nowMs = LAPSE_MS + 1000;
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    report("a", List.of(), List.of(end(1, 0, 1, EndKind.DONE)));
    assertThat(written()).hasValue(BatchState.SUCCEEDED);
  }

  @Test
  void aSilentWorkerThatIsStillListedIsNotWaitedForForEver() {
    adoptActiveOn("a");
    listSilentWorker("a");
    listWorker("b");
    nowMs = 4 * LAPSE_MS + 100;
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().map(StartCommand::worker)).containsExactly("b");
  }

  @Test
  void workOfAWorkerThatIsNotListedStartsElsewhereAfterItsLeases() {
    adoptActiveOn("a");
    listWorker("b");
    nowMs = LAPSE_MS + 100;
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts.stream().map(StartCommand::worker)).containsExactly("b");
  }

  // A decider that decides with the first worker it hears puts everything there, or stops work for
  // what has room elsewhere.
  @Test
  void aNewDeciderWaitsUntilMostWorkersWereHeard() {
    supervisor.accept(job(1, false, 2), nowMs, WALL_MS);
    for (String id : List.of("b", "c", "d")) {
      listSilentWorker(id);
    }
    listWorker("a");
    assertThat(supervisor.wantsDecision(nowMs)).isFalse();
    report("b", List.of(), List.of());
    report("c", List.of(), List.of());
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  // Workers that the log names, but the platform does not list yet, were taken for heard.
  @Test
  void workersOfInheritedRunsAreNotTakenForHeard() {
    GroupState state = GroupState.NEW.withRunStarted(List.of("b", "c", "d"));
    GroupKey gang = new GroupKey(ID, 0, 0, GroupKey.WHOLE_STEP);
    LogEntry entry = LogEntry.of(LogKey.group(gang), new LogContent.Group(state));
    supervisor.adopt(tableWith(job(3, true, 2), entry), nowMs, WALL_MS);
    listSilentWorker("a");
    assertThat(supervisor.wantsDecision(nowMs)).isFalse();
  }

  // The workers of a zone that is cut off do not answer; waiting a second for them held all urgent
  // work up.
  @Test
  void onceNoMoreAnswersComeANewDeciderDoesNotWaitForTheRest() {
    listSilentWorker("c");
    listSilentWorker("d");
    listWorker("a");
    listWorker("b");
    supervisor.accept(job(1, false, 2), nowMs, WALL_MS);
    assertThat(supervisor.wantsDecision(nowMs)).isFalse();
    nowMs += FirstReports.QUIET_PERIOD_MS;
    assertThat(supervisor.wantsDecision(nowMs)).isTrue();
  }

  @Test
  void workersThatCannotBeReachedAreNotWaitedFor() {
    listSilentWorker("c");
    listSilentWorker("d");
    listWorker("a");
    listWorker("b");
    supervisor.accept(job(1, false, 2), nowMs, WALL_MS);
    supervisor.unreachable("c", "the connection is refused", nowMs);
    assertThat(supervisor.wantsDecision(nowMs)).isTrue();
  }

  // With few heard, silence may as well mean that this host is cut off or slow.
  @Test
  void withFewWorkersHeardSilenceDoesNotEndTheWait() {
    for (String id : List.of("b", "c", "d")) {
      listSilentWorker(id);
    }
    listWorker("a");
    supervisor.accept(job(1, false, 2), nowMs, WALL_MS);
    nowMs += 2 * FirstReports.QUIET_PERIOD_MS;
    assertThat(supervisor.wantsDecision(nowMs)).isFalse();
  }

  @Test
  void workersBehindACutHoldANewDeciderUpForASecondAtMost() {
    listSilentWorker("b");
    listWorker("a");
    supervisor.accept(job(1, false, 2), nowMs, WALL_MS);
    assertThat(supervisor.wantsDecision(nowMs)).isFalse();
    nowMs = 1000;
    assertThat(supervisor.wantsDecision(nowMs)).isTrue();
  }

  @Test
  void aRunTakenOverCountsAsRunningUntilItsWorkerIsHeard() {
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("a")), nowMs, WALL_MS);
    listWorkerUnheard("b");
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    report("b", List.of(), List.of());
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    report("a", List.of(), List.of());
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
    assertThat(effects.starts.get(0).run()).isEqualTo(2);
  }

  @Test
  void aRunTakenOverIsStartedAnewOnceEveryLeaseHasRunOut() {
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("gone")), nowMs, WALL_MS);
    listWorker("b");
    int lapseMs = SupervisorSettings.of(LEASE_MS, 60_000).lapseMs();
    nowMs = lapseMs - 10L;
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).isEmpty();
    nowMs = lapseMs + 10L;
    tick(WALL_MS);
    tick(WALL_MS);
    effects.keepAll();
    assertThat(effects.starts).hasSize(1);
  }

  @Test
  void aCancellationReadAtTheTakeOverIsCarriedOut() {
    LogEntry cancel = LogEntry.of(LogKey.cancel(ID), new LogContent.Cancellation(1));
    supervisor.adopt(tableWith(job(1, false, 2), activeOn("a"), cancel), nowMs, WALL_MS);
    listWorker("b");
    tick(WALL_MS);
    effects.keepAll();
    assertThat(written()).hasValue(BatchState.CANCELLED);
    assertThat(effects.stops).hasSize(1);
    assertThat(effects.starts).isEmpty();
  }
}
