package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A worker that fell silent right after an answer, so that the last lease was sent in the same
 * millisecond, kept what ran there for the rest of the term.
 */
final class LastLeaseTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final long LISTED_LAPSE_MS = 4 * LAPSE_MS;

  @BeforeEach
  void haveAWorkerFallSilentAfterAnAnswer() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.keepAll();
    answerStarts(CommandOutcome.DONE);
    StartCommand order = effects.starts.get(0);
    report("a", List.of(new WorkerInventory.RunningTask(order.task(), 1, "", 10)), List.of());
    supervisor.leased("a", nowMs);
    supervisor.unreachable("a", "silent", nowMs);
  }

  @Test
  void whatRanThereEndsOnceEveryLeaseHasRunOut() {
    nowMs += LISTED_LAPSE_MS + 1;
    tick(WALL_MS);
    assertThat(lastStateOf(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void itEndsEarlierIfThePlatformListsTheWorkerNoLonger() {
    supervisor.unlistWorker("a", nowMs);
    nowMs += LAPSE_MS + 1;
    tick(WALL_MS);
    assertThat(lastStateOf(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void itDoesNotEndEarlier() {
    nowMs += LISTED_LAPSE_MS;
    tick(WALL_MS);
    assertThat(lastStateOf(GROUP)).hasValue(GroupPhase.ACTIVE);
  }
}
