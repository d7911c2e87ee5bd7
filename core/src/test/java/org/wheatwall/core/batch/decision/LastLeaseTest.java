package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Guards against runs that are never ended on a silent worker: if the worker falls silent right
 * after a response and the last lease is sent in the same millisecond, its runs must still end once
 * their leases have expired.
 */
final class LastLeaseTest extends OneJobScenario {
  private static final GroupKey GROUP = new GroupKey(ID, 0, 0, 0);
  // Network partitions last for a number of seconds, however long leases are.
  private static final long LISTED_EXPIRY_MS = LEASE_EXPIRY_MS + 20_000;

  @BeforeEach
  void makeWorkerSilentAfterResponse() {
    listWorker("a");
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    report("a", List.of(runningTask()), List.of());
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

  // Otherwise work stands beside idle workers for 43 s where leases last 10 s.
  @Test
  void waitForAListedWorkerIsLongerThanItsLeasesByTheSameTimeWhateverTheirLength() {
    for (int leaseMs : List.of(LEASE_MS, 10_000)) {
      long expiryMs = SupervisorSettings.of(leaseMs, 60_000).leaseExpiryMs();
      WorkerRecord record = new WorkerRecord("a", 0);
      record.updateListing(
          new WorkerInfo("a", "127.0.0.1:1", "s", "z", "r", Set.of(), ResourceAmount.ZERO, false),
          0);
      assertThat(record.leasesExpired(expiryMs + 20_000, expiryMs)).isFalse();
      assertThat(record.leasesExpired(expiryMs + 20_001, expiryMs)).isTrue();
    }
  }

  // Its runs ended as it left, and nobody can say so.
  @Test
  void runsOfAWorkerThatLeftAsPlannedAreGivenUpAfterItsShorterLeases() {
    supervisor.listWorker(
        new WorkerInfo("a", "127.0.0.1:1", "s", "z", "r", Set.of(), ResourceAmount.ZERO, true),
        nowMs);
    int leaseMs = supervisor.renewalLeaseMs("a", nowMs);
    assertThat(leaseMs).isLessThan(LEASE_MS);
    nowMs += LEASE_MS - leaseMs;
    report("a", List.of(runningTask()), List.of());
    supervisor.onLeaseSent("a", leaseMs, nowMs);
    supervisor.onWorkerUnreachable("a", "silent", nowMs);
    supervisor.unlistWorker("a", nowMs);
    nowMs += LEASE_EXPIRY_MS - (LEASE_MS - leaseMs);
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
    nowMs += 20;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  @Test
  void leasesOfADrainingWorkerLastAboutAsLongAsItStays() {
    listDraining(OptionalInt.of(3000));
    assertThat(supervisor.renewalLeaseMs("a", nowMs)).isEqualTo(3000);
    assertThat(supervisor.renewalLeaseMs("a", nowMs + 500)).isEqualTo(2500);
    assertThat(supervisor.renewalLeaseMs("a", nowMs + 2900)).isEqualTo(2000);
    listDraining(OptionalInt.of(60_000));
    assertThat(supervisor.renewalLeaseMs("a", nowMs)).isEqualTo(5000);
    listDraining(OptionalInt.empty());
    assertThat(supervisor.renewalLeaseMs("a", nowMs)).isEqualTo(5000);
  }

  // Its entry may be gone although it stays, for example after an outage of the store.
  @Test
  void leasesOfADrainingWorkerFollowWhatItSaidAfterItsEntryIsGone() {
    listDraining(OptionalInt.of(4000));
    supervisor.unlistWorker("a", nowMs);
    assertThat(supervisor.renewalLeaseMs("a", nowMs + 1000)).isEqualTo(3000);
    assertThat(supervisor.renewalLeaseMs("a", nowMs + 10_000)).isEqualTo(2000);
  }

  // It may still be there, and a new decider cannot renew its leases until it is listed again.
  @Test
  void runsOfAWorkerThatLostItsEntryWithoutDrainingKeepLeasesOfFullLength() {
    supervisor.unlistWorker("a", nowMs);
    assertThat(supervisor.renewalLeaseMs("a", nowMs)).isEqualTo(LEASE_MS);
  }

  // Its runs ended as it left; with longer leases their work stands beside idle workers.
  @Test
  void runsOfAWorkerThatLeftWhenItSaidAreGivenUpWithinThreeSeconds() {
    listDraining(OptionalInt.of(LEASE_MS));
    for (int i = 0; i <= LEASE_MS; i += 500) {
      nowMs += 500;
      report("a", List.of(runningTask()), List.of());
      supervisor.onLeaseSent("a", supervisor.renewalLeaseMs("a", nowMs), nowMs);
    }
    supervisor.onWorkerUnreachable("a", "silent", nowMs);
    supervisor.unlistWorker("a", nowMs);
    nowMs += 3000;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.WAITING);
  }

  private void listDraining(OptionalInt remainingMs) {
    supervisor.listWorker(
        new WorkerInfo(
            "a", "127.0.0.1:1", "s", "z", "r", Set.of(), ResourceAmount.ZERO, true, remainingMs),
        nowMs);
  }

  // The worker keeps the longest lease that it got.
  @Test
  void shorterLeaseDoesNotEndAnEarlierLongerOne() {
    int leaseMs = supervisor.renewalLeaseMs("a", nowMs) / 2;
    supervisor.onLeaseSent("a", leaseMs, nowMs + 100);
    supervisor.unlistWorker("a", nowMs);
    nowMs += LEASE_EXPIRY_MS;
    tick(WALL_MS);
    assertThat(lastLoggedPhase(GROUP)).hasValue(GroupPhase.ACTIVE);
  }

  @Test
  void leasesOfADrainingWorkerAreNotLongerThanTheMaximum() {
    int maximumMs = 3000;
    RunSupervisor other =
        new RunSupervisor(
            SupervisorSettings.of(maximumMs, 60_000),
            SchedulerSettings.DEFAULT,
            new RecordedEffects(),
            7,
            0,
            0);
    other.listWorker(
        new WorkerInfo("a", "127.0.0.1:1", "s", "z", "r", Set.of(), ResourceAmount.ZERO, true), 0);
    assertThat(other.renewalLeaseMs("a", nowMs)).isEqualTo(maximumMs);
  }

  // It may yet report that a run was done before the lease expired.
  @Test
  void runsAreAwaitedFromTheLastResponseIfNoLeaseWasSentSince() {
    long respondedAtMs = 10_000;
    WorkerRecord record = new WorkerRecord("a", 0);
    record.onResponse(respondedAtMs);
    record.onNoResponse(respondedAtMs + 1);
    assertThat(record.leasesExpired(respondedAtMs + LEASE_EXPIRY_MS, LEASE_EXPIRY_MS)).isFalse();
    assertThat(record.leasesExpired(respondedAtMs + LEASE_EXPIRY_MS + 1, LEASE_EXPIRY_MS)).isTrue();
  }

  // Otherwise work would be awaited anew for each clock that tells less than what is known.
  @Test
  void laterLimitOfTheLastLeaseDoesNotReplaceAnEarlierOne() {
    WorkerRecord record = new WorkerRecord("a", 1000);
    record.limitLastLease(500);
    record.limitLastLease(900);
    assertThat(record.lastLeaseSentMs()).isEqualTo(500);
  }

  private WorkerInventory.RunningTask runningTask() {
    return new WorkerInventory.RunningTask(effects.starts.get(0).task(), 1, "", 10);
  }
}
