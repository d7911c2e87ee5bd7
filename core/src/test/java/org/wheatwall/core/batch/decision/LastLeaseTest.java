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
 * Guards against runs that are never ended on a silent worker: if the worker falls silent right
 * after a response and the last lease is sent in the same millisecond, its runs must still end once
 * their leases have expired.
 */
final class LastLeaseTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  private static final long LISTED_EXPIRY_MS = 4 * LEASE_EXPIRY_MS;

  @BeforeEach
  void makeWorkerSilentAfterResponse() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    StartCommand command = effects.starts.get(0);
    report("a", List.of(new WorkerInventory.RunningTask(command.task(), 1, "", 10)), List.of());
    supervisor.onLeaseSent("a", nowMs);
    supervisor.onWorkerUnreachable("a", "silent", nowMs);
  }

  @Test
  void runsThereEndOnceEveryLeaseHasExpired() {
    nowMs += LISTED_EXPIRY_MS + 1;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void runsEndEarlierIfThePlatformNoLongerListsTheWorker() {
    supervisor.unlistWorker("a", nowMs);
    nowMs += LEASE_EXPIRY_MS + 1;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void runsDoNotEndBeforeTheirLeasesHaveExpired() {
    nowMs += LISTED_EXPIRY_MS;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
  }
}
