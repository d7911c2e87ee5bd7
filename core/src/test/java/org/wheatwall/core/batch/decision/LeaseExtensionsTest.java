package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.CommandOutcome;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.batch.model.LogContent;
import org.wheatwall.core.batch.model.LogEntry;
import org.wheatwall.core.batch.model.LogKey;
import org.wheatwall.core.batch.model.StartCommand;
import org.wheatwall.core.batch.model.TaskName;
import org.wheatwall.core.batch.model.WorkerClock;
import org.wheatwall.core.batch.model.WorkerInfo;
import org.wheatwall.core.batch.model.WorkerInventory;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.ResourceAmount;

/**
 * Guards against leases that are extended although a record in the log says that none are, so that
 * a later decider starts a task beside its earlier run, and against deciders that ignore the record
 * and wait longer than they need.
 */
final class LeaseExtensionsTest extends OneJobScenario {
  private static final String WORKER = "a..1000";
  private static final String LATER = "a..2000";
  private static final String OTHER = "b..1000";
  private static final LogKey STOP_KEY = LogKey.leaseStop(WORKER);
  private static final int SCAN_MS = 250;

  private void startTask() {
    listWorker(WORKER);
    accept(job(1, false, 2));
    effects.acknowledgeAll();
    resolveStarts(CommandOutcome.DONE);
    supervisor.onLeaseSent(WORKER, nowMs);
  }

  private void makeSilent() {
    supervisor.onCallUnanswered(WORKER, nowMs);
    nowMs += LeaseExtensions.STOP_AFTER_MS;
    tick(WALL_MS);
  }

  private void reportRunning() {
    StartCommand command = effects.starts.get(0);
    report(WORKER, List.of(new WorkerInventory.RunningTask(command.task(), 1, "", 10)), List.of());
  }

  private Optional<LogEntry> lastStopEntry() {
    return effects.logged.stream()
        .filter(entry -> entry.key().equals(STOP_KEY))
        .reduce((first, second) -> second);
  }

  private LogContent.LeaseStop lastStop() {
    return (LogContent.LeaseStop) lastStopEntry().flatMap(LogEntry::content).orElseThrow();
  }

  // Adopts the job while another decider's stop at its worker was read some time ago.
  private void adoptWithStop(long readAtMs, LogContent.LeaseStop stop) {
    LeaseStops stops = new LeaseStops();
    stops.add(WORKER, stop, 5, readAtMs);
    supervisor.adopt(tableWith(job(1, false, 2), activeOn(WORKER)), stops, nowMs, WALL_MS);
  }

  private List<String> startedOn() {
    effects.acknowledgeAll();
    return effects.starts.stream().map(StartCommand::worker).toList();
  }

  @Test
  void silenceOfAWorkerWithRunsIsLoggedWithTheTimeSinceTheLastLease() {
    startTask();
    makeSilent();
    assertThat(supervisor.mayExtendLeases(WORKER)).isFalse();
    assertThat(lastStopEntry().flatMap(LogEntry::content))
        .hasValue(new LogContent.LeaseStop(LeaseExtensions.STOP_AFTER_MS, List.of()));
  }

  @Test
  void silenceOfAnIdleWorkerIsNotLogged() {
    listWorker(WORKER);
    makeSilent();
    assertThat(lastStopEntry()).isEmpty();
  }

  @Test
  void noLeaseIsExtendedBeforeTheRecordIsDropped() {
    startTask();
    makeSilent();
    effects.acknowledgeAll();
    reportRunning();
    assertThat(lastStopEntry()).hasValue(LogEntry.tombstone(STOP_KEY));
    assertThat(supervisor.mayExtendLeases(WORKER)).isFalse();
    effects.acknowledgeAll();
    assertThat(supervisor.mayExtendLeases(WORKER)).isTrue();
  }

  @Test
  void nothingStartsOnAWorkerBeforeItsRecordIsDropped() {
    startTask();
    makeSilent();
    effects.acknowledgeAll();
    reportRunning();
    assertThat(supervisor.usableWorkersIn("z")).isEmpty();
    effects.acknowledgeAll();
    assertThat(supervisor.usableWorkersIn("z")).containsExactly(WORKER);
  }

  @Test
  void recordIsDroppedOnceNothingRunsThere() {
    startTask();
    makeSilent();
    supervisor.unlistWorker(WORKER, nowMs);
    nowMs += LEASE_EXPIRY_MS + SCAN_MS;
    tick(WALL_MS);
    nowMs += SCAN_MS;
    tick(WALL_MS);
    assertThat(lastStopEntry()).hasValue(LogEntry.tombstone(STOP_KEY));
  }

  @Test
  void workOfASilentWorkerIsNotAwaitedAnewByTheNextDecider() {
    long readAtMs = nowMs - 4000;
    adoptWithStop(readAtMs, new LogContent.LeaseStop(500, List.of()));
    listWorker("b");
    nowMs = readAtMs - 500 + LEASE_EXPIRY_MS;
    tick(WALL_MS);
    assertThat(startedOn()).isEmpty();
    nowMs += 20;
    tick(WALL_MS);
    tick(WALL_MS);
    assertThat(startedOn()).containsExactly("b");
  }

  // A process that has just started read the record only now.
  @Test
  void clockOfAnotherWorkerTellsHowLongAgoTheRecordWasWritten() {
    long clockMs = 50_000;
    adoptWithStop(
        nowMs, new LogContent.LeaseStop(500, List.of(new WorkerClock(OTHER, clockMs - 5150))));
    listUnreportedWorker(OTHER);
    reportClock(OTHER, clockMs);
    nowMs += LEASE_EXPIRY_MS - 5500 - 10;
    tick(WALL_MS);
    assertThat(startedOn()).isEmpty();
    nowMs += 20;
    tick(WALL_MS);
    tick(WALL_MS);
    assertThat(startedOn()).containsExactly(OTHER);
  }

  // Some deployments have workers that do not report when they were started.
  @Test
  void recordNamesTheClocksOfWorkersWhoseStartTimeIsNotKnown() {
    startTask();
    listWorker("b");
    makeSilent();
    LogContent.LeaseStop stop =
        (LogContent.LeaseStop) lastStopEntry().flatMap(LogEntry::content).orElseThrow();
    assertThat(stop.clocks().stream().map(WorkerClock::worker)).containsExactly("b");
  }

  // Leases may have been extended since the record was dropped.
  @Test
  void clockOfAnotherWorkerDoesNotCountOnceTheWorkerHasResponded() {
    long clockMs = 50_000;
    adoptWithStop(
        nowMs, new LogContent.LeaseStop(1, List.of(new WorkerClock(OTHER, clockMs - 5150))));
    listUnreportedWorker(WORKER);
    report(WORKER, List.of(new WorkerInventory.RunningTask(activeTask(), 1, "", 10)), List.of());
    effects.acknowledgeAll();
    supervisor.onLeaseSent(WORKER, nowMs);
    supervisor.unlistWorker(WORKER, nowMs);
    listUnreportedWorker(OTHER);
    reportClock(OTHER, clockMs);
    nowMs += LEASE_EXPIRY_MS - 100;
    tick(WALL_MS);
    tick(WALL_MS);
    assertThat(startedOn()).isEmpty();
  }

  // The holder before may act for some time after the start of the term.
  @Test
  void silenceIsNotLoggedWhileAnEarlierDeciderMayExtendLeases() {
    RecordedEffects laterEffects = new RecordedEffects();
    RunSupervisor later =
        new RunSupervisor(
            SupervisorSettings.of(LEASE_MS, 60_000),
            SchedulerSettings.DEFAULT,
            laterEffects,
            8,
            nowMs,
            3 * LeaseExtensions.STOP_AFTER_MS);
    later.adopt(tableWith(job(1, false, 2), activeOn(WORKER)), nowMs, WALL_MS);
    later.listWorker(
        new WorkerInfo(OTHER, "127.0.0.1:1", "s", "z", "r", Set.of(), ResourceAmount.ZERO, false),
        nowMs);
    later.tick(nowMs + 2L * LeaseExtensions.STOP_AFTER_MS, WALL_MS);
    assertThat(laterEffects.logged).isEmpty();
    later.tick(nowMs + 3L * LeaseExtensions.STOP_AFTER_MS, WALL_MS);
    assertThat(laterEffects.logged.stream().map(LogEntry::key)).containsExactly(STOP_KEY);
  }

  // It may be reachable from here, and report that the run was done before its lease expired.
  @Test
  void listedWorkerIsNotGivenUpBeforeItWasCalledInThisTerm() {
    adoptWithStop(nowMs - 5 * LEASE_EXPIRY_MS, new LogContent.LeaseStop(500, List.of()));
    listUnreportedWorker(WORKER);
    listWorker("b");
    tick(WALL_MS);
    nowMs += FirstReports.MAX_WAIT_MS;
    tick(WALL_MS);
    tick(WALL_MS);
    assertThat(startedOn()).isEmpty();
  }

  // The log takes a limited number of appends at a time.
  @Test
  void recordsOfManyWorkersAreDroppedInOneAppend() {
    LeaseStops stops = new LeaseStops();
    for (int i = 0; i < 5000; i++) {
      stops.add("w" + i + "..1", new LogContent.LeaseStop(500, List.of()), 5, nowMs);
    }
    supervisor.adopt(new JobTable(), stops, nowMs, WALL_MS);
    tick(WALL_MS);
    assertThat(effects.logged).hasSize(5000);
    int appends = 0;
    while (effects.hasPendingAcknowledgement()) {
      effects.acknowledgeNext();
      appends++;
    }
    assertThat(appends).isAtMost(10);
  }

  // A run of the earlier incarnation may still be in the log, beside one of the later.
  @Test
  void recordOfALaterIncarnationIsDroppedBeforeALeaseIsExtendedThere() {
    String earlier = "a..500";
    supervisor.adopt(
        tableWith(job(2, false, 2), activeOn(earlier), activeGroup(1, WORKER)), nowMs, WALL_MS);
    listUnreportedWorker(OTHER);
    nowMs += LeaseExtensions.STOP_AFTER_MS;
    tick(WALL_MS);
    effects.acknowledgeAll();
    assertThat(lastStopEntry().flatMap(LogEntry::content)).isPresent();
    listUnreportedWorker(WORKER);
    report(WORKER, List.of(), List.of());
    effects.acknowledgeAll();
    assertThat(supervisor.mayExtendLeases(WORKER)).isTrue();
    assertThat(lastStopEntry()).hasValue(LogEntry.tombstone(STOP_KEY));
  }

  // The later incarnation is not listed, so the run of the earlier one is awaited.
  @Test
  void workOfASupersededSilentIncarnationIsNotAwaitedAnewByTheNextDecider() {
    String earlier = "a..500";
    long readAtMs = nowMs - 4000;
    LeaseStops stops = new LeaseStops();
    stops.add(earlier, new LogContent.LeaseStop(500, List.of()), 5, readAtMs);
    supervisor.adopt(
        tableWith(job(2, false, 2), activeOn(earlier), activeGroup(1, WORKER)),
        stops,
        nowMs,
        WALL_MS);
    listWorker("b");
    nowMs = readAtMs - 500 + LEASE_EXPIRY_MS + 20;
    tick(WALL_MS);
    tick(WALL_MS);
    assertThat(startedOn()).containsExactly("b");
  }

  @Test
  void clockThatWasRequestedBeforeASuspensionIsNotLogged() {
    startTask();
    listWorker(OTHER);
    long requestedAtMs = nowMs;
    supervisor.invalidateClocks(nowMs);
    supervisor.onReport(
        OTHER, new WorkerInventory(nowMs, List.of(), List.of()), requestedAtMs, nowMs, WALL_MS);
    makeSilent();
    LogContent.LeaseStop stop =
        (LogContent.LeaseStop) lastStopEntry().flatMap(LogEntry::content).orElseThrow();
    assertThat(stop.clocks()).isEmpty();
  }

  // The process may have been frozen between the start of a tick and a start sent in it.
  @Test
  void clockInTheRecordIsNoEarlierThanTheLastLease() {
    startTask();
    listWorker(OTHER);
    long clockMs = nowMs;
    supervisor.onCallUnanswered(WORKER, nowMs);
    nowMs += LeaseExtensions.STOP_AFTER_MS;
    supervisor.onLeaseSent(WORKER, nowMs + 1500);
    tick(WALL_MS);
    lastStopEntry()
        .flatMap(LogEntry::content)
        .map(LogContent.LeaseStop.class::cast)
        .ifPresent(
            stop ->
                assertThat(stop.clocks().get(0).clockMs())
                    .isAtLeast(clockMs + LeaseExtensions.STOP_AFTER_MS + 1500));
  }

  // The run moves to the later incarnation, which the log does not say.
  @Test
  void noLeaseIsExtendedAtALaterIncarnationBeforeTheRecordOfTheEarlierOneIsDropped() {
    adoptWithStop(nowMs, new LogContent.LeaseStop(500, List.of()));
    listUnreportedWorker(LATER);
    report(LATER, List.of(new WorkerInventory.RunningTask(activeTask(), 1, "", 10)), List.of());
    assertThat(lastStopEntry()).hasValue(LogEntry.tombstone(STOP_KEY));
    assertThat(supervisor.mayExtendLeases(LATER)).isFalse();
    assertThat(supervisor.usableWorkersIn("z")).isEmpty();
    effects.acknowledgeAll();
    assertThat(supervisor.mayExtendLeases(LATER)).isTrue();
    assertThat(supervisor.usableWorkersIn("z")).containsExactly(LATER);
  }

  @Test
  void noLeaseIsExtendedBeforeTheRecordsOfAllEarlierIncarnationsAreDropped() {
    String earlier = "a..500";
    LeaseStops stops = new LeaseStops();
    stops.add(earlier, new LogContent.LeaseStop(500, List.of()), 5, nowMs);
    stops.add(WORKER, new LogContent.LeaseStop(500, List.of()), 6, nowMs);
    supervisor.adopt(
        tableWith(job(2, false, 2), activeOn(earlier), activeGroup(1, WORKER)),
        stops,
        nowMs,
        WALL_MS);
    effects.acknowledgeAll();
    listUnreportedWorker(LATER);
    int appends = 0;
    for (; !supervisor.mayExtendLeases(LATER); appends++) {
      effects.acknowledgeNext();
    }
    assertThat(appends).isAtLeast(2);
    assertThat(effects.logged)
        .containsAtLeast(
            LogEntry.tombstone(LogKey.leaseStop(earlier)), LogEntry.tombstone(STOP_KEY));
  }

  @Test
  void nothingStartsOnAWorkerBeforeTheRecordOfAnEarlierDeciderIsDropped() {
    adoptWithStop(nowMs, new LogContent.LeaseStop(500, List.of()));
    listUnreportedWorker(WORKER);
    report(WORKER, List.of(), List.of());
    assertThat(supervisor.usableWorkersIn("z")).isEmpty();
    effects.acknowledgeAll();
    assertThat(supervisor.usableWorkersIn("z")).containsExactly(WORKER);
  }

  // A poll that extends leases may be the first call without a response.
  @Test
  void ageInTheRecordCountsFromALeaseThatWasSentAfterTheLastResponse() {
    int lastLeaseAfterMs = 1500;
    startTask();
    supervisor.onCallUnanswered(WORKER, nowMs);
    supervisor.onLeaseSent(WORKER, nowMs + lastLeaseAfterMs);
    nowMs += LeaseExtensions.STOP_AFTER_MS;
    tick(WALL_MS);
    assertThat(lastStop().ageMs()).isEqualTo(LeaseExtensions.STOP_AFTER_MS - lastLeaseAfterMs);
  }

  // A later decider would take it that more time has passed since, and give up runs too early.
  @Test
  void clockInTheRecordAllowsForAFastClockSinceItsReportWasRequested() {
    long longPollMs = 900;
    startTask();
    listWorker(OTHER);
    nowMs += longPollMs;
    long clockMs = 50_000;
    supervisor.onReport(
        OTHER,
        new WorkerInventory(clockMs, List.of(), List.of()),
        nowMs - longPollMs,
        nowMs,
        WALL_MS);
    makeSilent();
    long elapsedMs = longPollMs + LeaseExtensions.STOP_AFTER_MS;
    assertThat(lastStop().clocks())
        .containsExactly(new WorkerClock(OTHER, clockMs + elapsedMs + elapsedMs * 3 / 100));
  }

  // Some of them may end or be cut off before a later decider reads the record.
  @Test
  void recordNamesTheClocksOfThoseThatRespondedLast() {
    startTask();
    List.of("b", "c", "d", "e").forEach(this::listWorker);
    makeSilent();
    assertThat(lastStop().clocks().stream().map(WorkerClock::worker))
        .containsExactly("e", "d", "c");
  }

  // Such a worker gets no lease anyway, and its work is awaited.
  @Test
  void silenceOfAWorkerThatHasNotRespondedInThisTermIsLoggedEarlier() {
    adoptJobActiveOn(WORKER);
    listUnreportedWorker(WORKER);
    supervisor.onCallUnanswered(WORKER, nowMs);
    nowMs += LeaseExtensions.FIRST_STOP_AFTER_MS - 1;
    tick(WALL_MS);
    assertThat(lastStopEntry()).isEmpty();
    nowMs += SCAN_MS;
    tick(WALL_MS);
    assertThat(lastStopEntry()).isPresent();
  }

  // Leases are extended there meanwhile, so that its runs outlive a short cut-off.
  @Test
  void silenceOfAWorkerThatHasRespondedInThisTermIsNotLoggedEarlier() {
    startTask();
    supervisor.onCallUnanswered(WORKER, nowMs);
    nowMs += LeaseExtensions.STOP_AFTER_MS - 1;
    tick(WALL_MS);
    assertThat(lastStopEntry()).isEmpty();
  }

  // Otherwise nothing could start on a healthy worker until it is polled again.
  @Test
  void silenceThatEndedIsNotLogged() {
    startTask();
    supervisor.onCallUnanswered(WORKER, nowMs);
    reportRunning();
    nowMs += LeaseExtensions.STOP_AFTER_MS;
    tick(WALL_MS);
    assertThat(lastStopEntry()).isEmpty();
  }

  // The list is read at the start of a term, and takes its time where the store is slow.
  @Test
  void noWorkerCountsAsSilentBeforeTheListIsRead() {
    adoptJobActiveOn(WORKER);
    nowMs += LEASE_EXPIRY_MS / 2;
    tick(WALL_MS);
    assertThat(lastStopEntry()).isEmpty();
  }

  // Each record costs an append, and readers count from the newest.
  @Test
  void silenceIsLoggedOnce() {
    startTask();
    makeSilent();
    for (int i = 0; i < 5; i++) {
      nowMs += SCAN_MS;
      tick(WALL_MS);
    }
    assertThat(effects.logged.stream().filter(entry -> entry.key().equals(STOP_KEY))).hasSize(1);
  }

  // The log refuses an append that is too large.
  @Test
  void silenceOfManyWorkersIsLoggedInSeveralAppends() {
    int silent = 2500;
    int maxPerAppend = 2000;
    LogEntry[] runs =
        IntStream.range(0, silent)
            .mapToObj(i -> activeGroup(i, "w" + i + "..1"))
            .toArray(LogEntry[]::new);
    supervisor.adopt(tableWith(job(silent, false, 2), runs), nowMs, WALL_MS);
    listWorker(OTHER);
    nowMs += LeaseExtensions.FIRST_STOP_AFTER_MS;
    tick(WALL_MS);
    assertThat(effects.logged).hasSize(maxPerAppend);
    nowMs += SCAN_MS;
    tick(WALL_MS);
    assertThat(effects.logged).hasSize(silent);
  }

  private static LogEntry activeGroup(int index, String worker) {
    return LogEntry.of(
        LogKey.group(new GroupKey(ID, 0, 0, index)),
        new LogContent.Group(GroupState.NEW.withRunStarted(List.of(worker))));
  }

  private static TaskName activeTask() {
    return new TaskName(ID, 0, 0, 0);
  }

  private void reportClock(String worker, long clockMs) {
    nowMs += 10;
    supervisor.onReport(
        worker, new WorkerInventory(clockMs, List.of(), List.of()), nowMs - 5, nowMs, WALL_MS);
    decideIfDue(WALL_MS);
  }
}
