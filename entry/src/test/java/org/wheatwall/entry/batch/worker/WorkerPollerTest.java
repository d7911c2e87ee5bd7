package org.wheatwall.entry.batch.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.decision.JobTable;
import org.wheatwall.core.batch.decision.LeaseStops;
import org.wheatwall.core.batch.decision.RunEvent;
import org.wheatwall.core.batch.decision.SupervisorSettings;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.EndKind;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StepSpec;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * A new decider polls many workers a limited number at a time, and finally all of them. Workers
 * whose reported ends are still being logged are not polled again until they are logged.
 */
final class WorkerPollerTest {
  private static final int WORKERS = 245;
  private static final int MAX_FIRST_CALLS = 100;
  private static final int RENEWAL_MS = 600;
  private static final int LEASE_EXPIRY_MS =
      SupervisorSettings.of(WorkerPollerFixture.LEASE_MS, 60_000).leaseExpiryMs();
  private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);

  private final WorkerPollerFixture fixture = new WorkerPollerFixture();
  private final WorkerPollerFixture.ManualWorkerPort port = fixture.port;
  private final WorkerPoller poller = fixture.poller;

  @Test
  void onlySomeNewWorkersArePolledAtOnce() {
    fixture.listWorkers(WORKERS);
    poller.tick(fixture.clock.nowMs());
    assertThat(port.inFlight).hasSize(MAX_FIRST_CALLS);
  }

  @Test
  void eachResponseLetsAnotherNewWorkerBePolled() {
    fixture.listWorkers(WORKERS);
    while (!port.inFlight.isEmpty()) {
      port.respondToOne(true);
      assertThat(port.inFlight.size()).isAtMost(MAX_FIRST_CALLS);
    }
    assertThat(Set.copyOf(port.polled)).hasSize(WORKERS);
    assertThat(fixture.supervisor.silentWorkers()).isEmpty();
  }

  @Test
  void workersThatDoNotRespondDoNotBlockOthers() {
    fixture.listWorkers(WORKERS);
    for (int i = 0; i < WORKERS && !port.inFlight.isEmpty(); i++) {
      port.respondToOne(i % 5 != 0);
    }
    assertThat(Set.copyOf(port.polled)).hasSize(WORKERS);
  }

  // Every report contains an end until it is acknowledged, which waits for the log, and a report
  // that contains an end is not delayed. Polling again at once would poll the worker continuously.
  @Test
  void whileAnEndIsBeingLoggedItsWorkerIsPolledOnlyForRenewals() {
    listAndPollOne();
    fixture.effects.blockLog();
    poller.pollSoon("worker-0");
    port.respondToOne(reportWithEnd());
    assertThat(port.inFlight).isEmpty();
    poller.tick(fixture.clock.nowMs());
    assertThat(port.inFlight).isEmpty();
    fixture.clock.advance(RENEWAL_MS);
    poller.pollSoon("worker-0");
    assertThat(port.inFlight).hasSize(1);
  }

  @Test
  void anEndThatIsReportedAgainIsNotLoggedAgain() {
    listAndPollOne();
    fixture.effects.blockLog();
    for (int i = 0; i < 5; i++) {
      poller.pollSoon("worker-0");
      port.respondToOne(reportWithEnd());
      fixture.clock.advance(RENEWAL_MS);
    }
    assertThat(fixture.effects.pendingAppends()).isEqualTo(1);
  }

  @Test
  void anEndIsAcknowledgedAsSoonAsItIsLogged() {
    listAndPollOne();
    fixture.effects.blockLog();
    poller.pollSoon("worker-0");
    port.respondToOne(reportWithEnd());
    fixture.effects.unblockLog();
    assertThat(port.inFlight).hasSize(1);
    assertThat(fixture.supervisor.acknowledgedEndNumber("worker-0")).isEqualTo(1);
  }

  // No task runs on the worker, so no other call would carry the acknowledgement.
  @Test
  void anAcknowledgementThatWasLostIsRepeated() {
    listAndPollOne();
    poller.pollSoon("worker-0");
    port.respondToOne(reportWithEnd());
    port.respondToOne(false);
    fixture.runScheduledTasks();
    assertThat(port.inFlight).hasSize(1);
    port.respondToOne(true);
    fixture.runScheduledTasks();
    assertThat(port.inFlight).isEmpty();
  }

  // The task is not known here: it may be an orphaned run that the worker began late.
  @Test
  void anUnknownTaskDoesNotCauseContinuousPolling() {
    listAndPollOne();
    int before = port.polled.size();
    WorkerInventory orphan =
        new WorkerInventory(5, List.of(new WorkerInventory.RunningTask(TASK, 1, "", 0)), List.of());
    poller.pollSoon("worker-0");
    for (int i = 0; i < 20 && !port.inFlight.isEmpty(); i++) {
      boolean atOnce = port.waitMs.get(port.waitMs.size() - 1) == 0;
      port.respondToOne(orphan);
      fixture.clock.advance(atOnce ? 1 : port.waitMs.get(port.waitMs.size() - 1));
    }
    assertThat(fixture.clock.nowMs()).isAtLeast(10_000);
    assertThat(port.polled.size() - before).isAtMost(21);
  }

  @Test
  void theLeaseOfAnUnknownTaskIsNotExtended() {
    listAndPollOne();
    poller.pollSoon("worker-0");
    port.respondToOne(
        new WorkerInventory(
            5, List.of(new WorkerInventory.RunningTask(TASK, 1, "", 0)), List.of()));
    int before = port.extendsLeases.size() - port.inFlight.size();
    for (int i = 0; i < 3; i++) {
      fixture.clock.advance(RENEWAL_MS);
      port.respondToOne(
          new WorkerInventory(
              5, List.of(new WorkerInventory.RunningTask(TASK, 1, "", 0)), List.of()));
    }
    List<Boolean> later = port.extendsLeases.subList(before, port.extendsLeases.size());
    assertThat(later).hasSize(4);
    assertThat(later).doesNotContain(true);
  }

  // No task runs on most of the workers, so only the missing responses of the others show that the
  // zone is partitioned.
  @Test
  void noNewWorkGoesToAZoneThatStopsResponding() {
    fixture.listWorkers(8);
    while (!port.inFlight.isEmpty()) {
      port.respondToOne(true);
    }
    fixture.clock.advance(1000);
    for (int i = 0; i < 3; i++) {
      poller.pollSoon("worker-" + i);
    }
    fixture.clock.advance(250);
    poller.tick(fixture.clock.nowMs());
    assertThat(fixture.supervisor.usableWorkersIn("zone")).isEmpty();
    assertThat(port.inFlight).hasSize(8);
    while (!port.inFlight.isEmpty()) {
      port.respondToOne(true);
    }
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(8);
  }

  @Test
  void aLateWorkerGetsNoNewWorkUntilItResponds() {
    fixture.listWorkers(2);
    port.respondToOne(true);
    port.respondToOne(true);
    poller.pollSoon("worker-0");
    fixture.clock.advance(250);
    poller.tick(fixture.clock.nowMs());
    assertThat(fixture.supervisor.usableWorkersIn("zone")).containsExactly("worker-1");
    port.respondToOne(true);
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(2);
  }

  // The loop was busy when both were due, so the response may be queued behind the tick.
  @Test
  void aDelayedTickDoesNotMakeWorkersLate() {
    fixture.listWorkers(8);
    while (!port.inFlight.isEmpty()) {
      port.respondToOne(true);
    }
    for (int i = 0; i < 3; i++) {
      poller.pollSoon("worker-" + i);
    }
    long dueMs = fixture.clock.nowMs() + 100;
    fixture.clock.advance(800);
    poller.tick(dueMs);
    assertThat(fixture.supervisor.usableWorkersIn("zone")).hasSize(8);
  }

  // A later decider may take it from the record that no lease was extended since.
  @Test
  void aCommandHasNoLeaseWhileARecordSaysThatNoneIsExtended() {
    adoptStoppedLeases();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    assertThat(poller.lease("worker-0")).isEmpty();
    fixture.effects.unblockLog();
    assertThat(poller.lease("worker-0")).isPresent();
  }

  @Test
  void aPollExtendsNoLeaseWhileARecordSaysThatNoneIsExtended() {
    adoptStoppedLeases();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    for (int i = 0; i < 3; i++) {
      fixture.clock.advance(RENEWAL_MS);
      poller.tick(fixture.clock.nowMs());
      port.respondToOne(reportWithTask());
    }
    assertThat(port.extendsLeases).doesNotContain(true);
    fixture.effects.unblockLog();
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isTrue();
  }

  // The record was not dropped yet when the last poll that got a response was followed by another.
  @Test
  void aWorkerThatRespondsOnceAfterASilenceIsGivenUpIfItStaysSilentThen() {
    adoptStoppedLeases();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    fixture.clock.advance(RENEWAL_MS);
    poller.tick(fixture.clock.nowMs());
    fixture.effects.unblockLog();
    fixture.clock.advance(1600);
    port.respondToOne(false);
    fixture.clock.advance(450);
    fixture.runScheduledTasks();
    for (int i = 0; i < 300; i++) {
      fixture.clock.advance(200);
      if (!port.inFlight.isEmpty()) {
        port.respondToOne(false);
      }
      fixture.runScheduledTasks();
      fixture.supervisor.tick(fixture.clock.nowMs(), fixture.clock.wallMs());
      poller.tick(fixture.clock.nowMs());
    }
    assertThat(fixture.supervisor.workersInUse()).isEmpty();
  }

  // Its leases are awaited once it has left.
  @Test
  void leasesOfADrainingWorkerAreExtendedByLess() {
    adoptStoppedLeases();
    fixture.effects.unblockLog();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    long fullMs = port.leaseEndsMs.get(port.leaseEndsMs.size() - 1);
    fixture.supervisor.listWorker(drainingWorker("worker-0"), fixture.clock.nowMs());
    port.respondToOne(reportWithTask());
    assertThat(port.leaseEndsMs.get(port.leaseEndsMs.size() - 1)).isLessThan(fullMs);
  }

  // It may still be there, and a new decider cannot renew its leases until it is listed again.
  @Test
  void leasesOfAWorkerWhoseEntryIsGoneAreExtendedInFull() {
    adoptStoppedLeases();
    fixture.effects.unblockLog();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    long fullMs = port.leaseEndsMs.get(port.leaseEndsMs.size() - 1);
    fixture.supervisor.unlistWorker("worker-0", fixture.clock.nowMs());
    port.respondToOne(reportWithTask());
    assertThat(port.leaseEndsMs.get(port.leaseEndsMs.size() - 1)).isAtLeast(fullMs);
  }

  // It has probably left, and its leases are awaited.
  @Test
  void leasesOfADrainingWorkerAreNotExtendedAfterACallWithoutAResponse() {
    adoptStoppedLeases();
    fixture.effects.unblockLog();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    fixture.supervisor.listWorker(drainingWorker("worker-0"), fixture.clock.nowMs());
    port.respondToOne(reportWithTask());
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isTrue();
    port.respondToOne(false);
    fixture.clock.advance(RENEWAL_MS);
    fixture.runScheduledTasks();
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isFalse();
    port.respondToOne(reportWithTask());
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isTrue();
  }

  private WorkerInfo drainingWorker(String name) {
    WorkerInfo info = fixture.supervisor.workerInfo(name).orElseThrow();
    return new WorkerInfo(
        info.id(),
        info.address(),
        info.service(),
        info.zone(),
        info.rack(),
        info.labels(),
        info.capacity(),
        true);
  }

  // Otherwise its runs would be given up while their leases last.
  @Test
  void runsAreAwaitedFromTheLastPollThatExtendedTheirLeases() {
    adoptStoppedLeases();
    fixture.effects.unblockLog();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    fixture.clock.advance(2L * LEASE_EXPIRY_MS);
    port.respondToOne(reportWithTask());
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isTrue();
    fixture.supervisor.unlistWorker("worker-0", fixture.clock.nowMs());
    fixture.clock.advance(LEASE_EXPIRY_MS);
    fixture.supervisor.tick(fixture.clock.nowMs(), fixture.clock.wallMs());
    assertThat(fixture.supervisor.workersInUse()).containsExactly("worker-0");
    fixture.clock.advance(1);
    fixture.supervisor.tick(fixture.clock.nowMs(), fixture.clock.wallMs());
    assertThat(fixture.supervisor.workersInUse()).isEmpty();
  }

  // Its work is awaited from the last lease on.
  @Test
  void leasesOfAWorkerThatHasBeenSilentForSomeTimeAreNotExtended() {
    adoptStoppedLeases();
    fixture.effects.unblockLog();
    fixture.listWorkers(1);
    port.respondToOne(reportWithTask());
    for (int i = 0; i < 2; i++) {
      assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isTrue();
      fixture.clock.advance(1500);
      port.respondToOne(false);
      fixture.runScheduledTasks();
    }
    assertThat(port.extendsLeases.get(port.extendsLeases.size() - 1)).isFalse();
  }

  private void adoptStoppedLeases() {
    JobTable table = new JobTable();
    BatchJob job =
        new BatchJob(
            TASK.jobId(), "queue", "service", "", "", List.of(step()), Optional.empty(), 1, 2, 0);
    table.apply(LogEntry.of(LogKey.job(job.id()), new LogContent.Definition(job)), 0);
    table.apply(
        LogEntry.of(
            LogKey.group(new GroupKey(job.id(), 0, 0, 0)),
            new LogContent.Group(GroupState.NEW.withRunStarted(List.of("worker-0")))),
        1);
    LeaseStops stops = new LeaseStops();
    stops.add("worker-0", new LogContent.LeaseStop(1, List.of()), 2, fixture.clock.nowMs());
    fixture.effects.blockLog();
    fixture.supervisor.adopt(table, stops, fixture.clock.nowMs(), fixture.clock.wallMs());
  }

  private static StepSpec step() {
    return new StepSpec(
        1,
        new ResourceAmount(100, 10, 1),
        1000,
        List.of(),
        false,
        false,
        false,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        HostSharing.ORDINARY);
  }

  private static WorkerInventory reportWithTask() {
    return new WorkerInventory(
        5, List.of(new WorkerInventory.RunningTask(TASK, 1, "", 0)), List.of());
  }

  private void listAndPollOne() {
    fixture.listWorkers(1);
    port.respondToOne(true);
  }

  private static WorkerInventory reportWithEnd() {
    return new WorkerInventory(
        5, List.of(), List.of(new WorkerInventory.EndedTask(1, TASK, 1, EndKind.DONE, "")));
  }

  // A worker that responds to each poll was suspected several times a second, because no other
  // worker of its zone responded.
  @Test
  void aWorkerThatRespondsIsNotSuspectedAgainBecauseItsZoneIsSilent() {
    int workers = 5;
    String responding = "worker-" + (workers - 1);
    fixture.listWorkers(workers);
    while (!port.inFlight.isEmpty()) {
      port.respondToOne(true);
    }
    for (int i = 0; i < workers - 1; i++) {
      poller.pollSoon("worker-" + i);
    }
    for (int elapsedMs = 0; elapsedMs < 10_000; elapsedMs += RENEWAL_MS) {
      fixture.clock.advance(RENEWAL_MS);
      poller.tick(fixture.clock.nowMs());
      while (port.inFlight.size() >= workers) {
        port.inFlight.remove(workers - 1).complete(new WorkerInventory(5, List.of(), List.of()));
      }
    }
    long suspicions =
        fixture.effects.decided.stream()
            .filter(event -> event.kind() == RunEvent.Kind.WORKER_UNREACHABLE)
            .filter(event -> event.subject().equals(responding))
            .count();
    assertThat(suspicions).isAtMost(1);
  }
}
