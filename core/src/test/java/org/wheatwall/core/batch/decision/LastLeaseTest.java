package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.OrderAnswer;
import org.wheatwall.core.batch.model.StartOrder;
import org.wheatwall.core.batch.model.WorkerInventory;

/**
 * A worker that fell silent right after an answer, so that the last lease was sent in the same
 * millisecond, kept what ran there for the rest of the term.
 */
final class LastLeaseTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final long LISTED_LAPSE_MS = 4 * LEASE_EXPIRY_MS;

  @BeforeEach
  void haveAWorkerFallSilentAfterAnAnswer() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(OrderAnswer.DONE);
    StartOrder order = effects.starts.get(0);
    report("a", List.of(new WorkerInventory.RunningTask(order.task(), 1, "", 10)), List.of());
    supervisor.onLeaseSent("a", nowMs);
    supervisor.onWorkerUnreachable("a", "silent", nowMs);
  }

  @Test
  void whatRanThereEndsOnceEveryLeaseHasRunOut() {
    nowMs += LISTED_LAPSE_MS + 1;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void itEndsEarlierIfThePlatformListsTheWorkerNoLonger() {
    supervisor.unlistWorker("a", nowMs);
    nowMs += LEASE_EXPIRY_MS + 1;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void itDoesNotEndEarlier() {
    nowMs += LISTED_LAPSE_MS;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
  }
}
