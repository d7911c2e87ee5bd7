package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wheatwall.core.job.decision.ShareFixture.HALF;
import static org.wheatwall.core.job.decision.ShareFixture.HOST;
import static org.wheatwall.core.job.decision.ShareFixture.ONE;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.Workspace;

/** Workspaces that compete get capacity by max-min fairness, and no job waits forever. */
final class ShareOrderTest {
  private static final int STARVATION_MS = 600_000;
  private static final int MANY = 1000;
  private static final int FLOOD = 10_000;

  @Test
  void theBacklogOfOneWorkspaceDoesNotDelayAnother() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.submit("flood-running", "flood", HALF);
    assertThat(fixture.startedNow()).containsExactly("flood-running");
    for (int i = 0; i < 9; i++) {
      fixture.submit("flood-" + i, "flood", HALF);
    }
    fixture.nowMs += 60_000;
    fixture.submit("modest", "modest", HALF);
    assertThat(fixture.startedNow()).containsExactly("modest");
  }

  @Test
  void whatNobodyElseWantsGoesToOneWorkspace() {
    ShareFixture fixture = ShareFixture.withShares(2);
    for (int i = 0; i < 4; i++) {
      fixture.submit("only-" + i, "only", HALF);
    }
    assertThat(fixture.startedNow()).hasSize(4);
  }

  @Test
  void earlierUseDoesNotDelayABurstAfterATimeWithoutWork() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.submit("earlier-1", "burst", HALF);
    fixture.submit("earlier-2", "burst", HALF);
    fixture.startedNow();
    fixture.nowMs += ShareFixture.RUN_MS;
    fixture.end("earlier-1");
    fixture.end("earlier-2");
    fixture.submit("burst-1", "burst", HALF);
    fixture.submit("other-1", "other", HALF);
    fixture.submit("other-2", "other", HALF);
    assertThat(fixture.startedNow()).containsExactly("burst-1", "other-1");
  }

  @Test
  void aShareThatChangesAppliesToWaitingJobs() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.submit("a-1", "a", HALF);
    fixture.submit("b-1", "b", new ResourceAmount(8000, 250, 2));
    assertThat(fixture.startedNow()).hasSize(2);
    fixture.submit("a-2", "a", ONE);
    fixture.submit("b-2", "b", ONE);
    fixture.scheduler.setWorkspaces(Map.of("a", new Workspace(Labels.NONE, 0, 3, 0)));
    assertThat(fixture.startedNow()).containsExactly("a-2", "b-2").inOrder();
  }

  @Test
  void aRemovedWorkspaceKeepsItsTurnWithTheUsualShare() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.scheduler.setWorkspaces(Map.of("a", new Workspace(Labels.NONE, 0, 3, 0)));
    fixture.submit("a-1", "a", HALF);
    fixture.submit("b-1", "b", new ResourceAmount(8000, 250, 2));
    fixture.startedNow();
    fixture.submit("a-2", "a", ONE);
    fixture.submit("b-2", "b", ONE);
    fixture.scheduler.setWorkspaces(Map.of());
    assertThat(fixture.startedNow()).containsExactly("b-2", "a-2").inOrder();
  }

  @Test
  void theLargestOfTheSharesOfAllResourcesCounts() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.submit("memory", "memory", new ResourceAmount(1000, 600, 0));
    fixture.submit("accelerators", "accelerators", new ResourceAmount(1000, 10, 3));
    fixture.startedNow();
    fixture.submit("memory-2", "memory", ONE);
    fixture.submit("accelerators-2", "accelerators", ONE);
    assertThat(fixture.startedNow()).containsExactly("accelerators-2", "memory-2").inOrder();
  }

  // The memory of a host that leaves is missing; what the other workspace holds of accelerators
  // grows less.
  @Test
  void sharesFollowHostsThatAreResizedOrLeave() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture
        .scheduler
        .cluster()
        .add(new WorkerHost("large", "zone", "rack", new ResourceAmount(32_000, 9000, 8)));
    fixture.submit("memory", "memory", new ResourceAmount(1000, 900, 0));
    fixture.submit("accelerators", "accelerators", new ResourceAmount(1000, 10, 3));
    fixture.startedNow();
    DominantShares shares = sharesOf(fixture);
    assertThat(shares.ofAllWork("memory")).isLessThan(shares.ofAllWork("accelerators"));
    fixture
        .scheduler
        .cluster()
        .add(new WorkerHost("large", "zone", "rack", new ResourceAmount(32_000, 1000, 8)));
    assertThat(shares.ofAllWork("memory")).isGreaterThan(shares.ofAllWork("accelerators"));
    fixture.scheduler.cluster().remove("large");
    assertThat(shares.ofAllWork("memory")).isWithin(1e-9).of(0.9);
    assertThat(shares.ofAllWork("accelerators")).isWithin(1e-9).of(3.0 / 8);
  }

  private static DominantShares sharesOf(ShareFixture fixture) {
    return fixture.scheduler.division().orElseThrow().shares();
  }

  @Test
  void urgentWorkIsNotDelayedByOtherWorkOfItsWorkspace() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.adopt("other", "a", HALF, "host-0", 0);
    fixture.scheduler.submit("urgent-a", ShareFixture.job("a", 1, HALF, true), fixture.nowMs);
    fixture.nowMs += 1000;
    fixture.scheduler.submit("urgent-b", ShareFixture.job("b", 1, HALF, true), fixture.nowMs);
    assertThat(fixture.startedNow().get(0)).isEqualTo("urgent-a");
  }

  // Guards against counting what cannot start: the small job went behind the whole backlog of the
  // other workspace.
  @Test
  void jobsThatNeverFitDoNotDelayOthersOfTheirWorkspace() {
    ShareFixture fixture = ShareFixture.withShares(1);
    for (int i = 0; i < MANY; i++) {
      fixture.submit("huge-" + i, "a", HOST.times(2));
    }
    fixture.submit("b-running", "b", HALF);
    fixture.startedNow();
    fixture.nowMs += 30_000;
    for (int i = 0; i < 9; i++) {
      fixture.submit("b-" + i, "b", HALF);
    }
    fixture.submit("small", "a", HALF);
    assertThat(fixture.startedNow()).containsExactly("small");
  }

  @Test
  void aNewDeciderThatAdoptsTheRunsDecidesInTheSameOrder() {
    for (int seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      ShareFixture before = ShareFixture.withShares(4);
      for (int i = 0; i < 20; i++) {
        int tasks = 1 + random.nextInt(2);
        before.submit("running-" + i, "workspace-" + random.nextInt(4), tasks, ONE);
      }
      before.startedNow();
      ShareFixture after = ShareFixture.withShares(4);
      after.nowMs = before.nowMs;
      for (RunningAttempt attempt : before.scheduler.running()) {
        after.scheduler.adopt(
            attempt.attemptId(),
            attempt.jobName(),
            attempt.job(),
            attempt.submittedAtMs(),
            attempt.placement(),
            attempt.startedAtMs());
      }
      for (ShareFixture fixture : List.of(before, after)) {
        Random drawn = new Random(seed);
        for (int i = 0; i < 40; i++) {
          fixture.submit("new-" + i, "workspace-" + drawn.nextInt(4), ONE);
        }
      }
      assertThat(after.startedNow()).isEqualTo(before.startedNow());
    }
  }

  @Test
  void theSameJobsStartIfEverythingFits() {
    for (int seed = 1; seed <= 20; seed++) {
      List<Set<String>> started = new ArrayList<>();
      for (ShareFixture fixture :
          List.of(ShareFixture.withShares(8), ShareFixture.withoutShares(8))) {
        Random random = new Random(seed);
        for (int i = 0; i < 30; i++) {
          fixture.submit("job-" + i, "workspace-" + random.nextInt(5), ONE);
        }
        started.add(new TreeSet<>(fixture.startedNow()));
      }
      assertThat(started.get(0)).isEqualTo(started.get(1));
      assertThat(started.get(0)).hasSize(30);
    }
  }

  @Test
  void usageFollowsStartsEndsAndMovesOfTasks() {
    Random random = new Random(1);
    ShareFixture fixture = ShareFixture.withShares(6);
    WorkspaceUsage usage = fixture.scheduler.division().orElseThrow().usage();
    for (int step = 0; step < 2000; step++) {
      fixture.nowMs += 100;
      fixture.submit("job-" + step, "workspace-" + random.nextInt(3), 1 + random.nextInt(4), ONE);
      fixture.startedNow();
      List<RunningAttempt> running = new ArrayList<>(fixture.scheduler.running());
      RunningAttempt attempt = running.get(random.nextInt(running.size()));
      String host = attempt.placement().hosts().get(0);
      switch (random.nextInt(4)) {
        case 0 -> fixture.scheduler.taskEnded(attempt.attemptId(), host);
        case 1 -> fixture.scheduler.tasksMoved(attempt.attemptId(), host, "host-5");
        default ->
            fixture.scheduler.attemptEnded(
                attempt.attemptId(), EndReason.INTERRUPTED, fixture.nowMs);
      }
      for (int workspace = 0; workspace < 3; workspace++) {
        String name = "workspace-" + workspace;
        assertThat(usage.ofAllWork(name).accelerators()).isEqualTo(held(fixture, name));
      }
    }
    List.copyOf(fixture.scheduler.running())
        .forEach(
            attempt ->
                fixture.scheduler.attemptEnded(
                    attempt.attemptId(), EndReason.SUCCEEDED, fixture.nowMs));
    assertThat(usage.workspaces()).isEmpty();
  }

  private static long held(ShareFixture fixture, String workspace) {
    long accelerators = 0;
    for (RunningAttempt attempt : fixture.scheduler.running()) {
      if (attempt.job().workspace().equals(workspace)) {
        accelerators +=
            fixture.scheduler.cluster().placement(attempt.attemptId()).stream()
                .map(Placement::hosts)
                .mapToLong(List::size)
                .sum();
      }
    }
    return accelerators;
  }

  @Test
  void jobsThatCanBeInTimeGoBeforeLateOnesAndTheseBeforeHopelessOnes() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.setObjective(new Objective(2, 0));
    fixture.submit("hopeless", "a", HALF);
    fixture.nowMs += 40_000;
    fixture.submit("late", "a", HALF);
    fixture.nowMs += 15_000;
    fixture.submit("in-time", "a", HALF);
    assertThat(fixture.startedNow()).containsExactly("in-time", "late").inOrder();
  }

  @Test
  void aLateJobStartsThoughNewOnesKeepComing() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.setObjective(new Objective(2, 0));
    fixture.submit("late", "a", HALF);
    fixture.nowMs += 60_000;
    int starts = 0;
    List<String> started = List.of();
    while (!started.contains("late")) {
      fixture.nowMs += ShareFixture.RUN_MS;
      started.forEach(fixture::end);
      for (int i = 0; i < 3; i++) {
        fixture.submit("new-" + fixture.nowMs + "-" + i, "a", HALF);
      }
      started = fixture.startedNow();
      starts += started.size();
      assertThat(starts).isAtMost(LateTurns.STARTS_PER_TURN);
    }
  }

  // Guards against a turn that is kept for a job that cannot take it.
  @Test
  void aJobThatNeverFitsDoesNotTakeTheTurnOfLateOnes() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.setObjective(new Objective(2, 0));
    fixture.submit("never", "a", HOST.times(2));
    fixture.nowMs += 1000;
    fixture.submit("late", "a", HALF);
    fixture.submit("first-1", "a", HALF);
    fixture.submit("first-2", "a", HALF);
    List<String> started = fixture.startedNow();
    fixture.nowMs += 60_000;
    String late = List.copyOf(fixture.scheduler.waiting()).get(1).name();
    for (int starts = started.size(); !started.contains(late); starts += started.size()) {
      assertThat(starts).isAtMost(LateTurns.STARTS_PER_TURN);
      started.forEach(fixture::end);
      for (int i = 0; i < 3; i++) {
        fixture.submit("new-" + fixture.nowMs + "-" + i, "a", HALF);
      }
      started = fixture.startedNow();
      fixture.nowMs += ShareFixture.RUN_MS;
    }
  }

  // Guards against an order that changes with every end: the room of one host never came together
  // for the gang while single tasks of other workspaces kept filling it. Another host is full all
  // the time: while less than half of the capacity is in use, nothing may be kept free for a gang.
  @Test
  void aGangThatIsPassedOverGetsTheRoomOfAWholeHost() {
    ShareFixture fixture = ShareFixture.withShares(2);
    fixture.adoptLongRunning("other", "workspace-5", HOST, "host-1");
    Random random = new Random(1);
    int submitted = 0;
    for (int i = 0; i < 8; i++) {
      fixture.submit("single-" + submitted++, "workspace-" + i % 4, ONE);
    }
    fixture.startedNow();
    fixture.submit("whole", "workspace-0", HOST);
    long submittedMs = fixture.nowMs;
    while (fixture.scheduler.isWaiting("whole")) {
      fixture.nowMs += 1000;
      List<RunningAttempt> running = new ArrayList<>(fixture.scheduler.running());
      running.removeIf(attempt -> attempt.jobName().equals("other"));
      if (!running.isEmpty()) {
        fixture.end(running.get(random.nextInt(running.size())).jobName());
      }
      for (int i = 0; i < 4; i++) {
        fixture.submit("single-" + submitted++, "workspace-" + i, ONE);
      }
      fixture.startedNow();
      assertThat(fixture.nowMs - submittedMs).isLessThan(20L * ShareFixture.RUN_MS);
    }
  }

  // Sixteen tasks run at once, each for a second. The flood lasts for longer than the starvation
  // bound, after which all its jobs would precede those of others and might preempt them.
  @Test
  void aFloodOfTenThousandJobsDelaysOnlyItsOwnWorkspace() {
    ShareFixture fixture = ShareFixture.withShares(2);
    for (int i = 0; i < FLOOD; i++) {
      fixture.submit("flood-" + i, "flood", ONE);
    }
    int floodStarted = 0;
    int second = 0;
    while (floodStarted < FLOOD) {
      fixture.nowMs += 1000;
      endAll(fixture);
      fixture.submit("modest-" + second, "modest", ONE);
      List<String> started = fixture.startedNow();
      assertWithMessage("second " + second).that(started).contains("modest-" + second);
      floodStarted += started.size() - 1;
      second++;
      assertWithMessage("what is left goes to the flood")
          .that(floodStarted)
          .isEqualTo(Math.min(FLOOD, 15 * second));
    }
    assertThat(second * 1000).isGreaterThan(STARVATION_MS);
    assertThat(fixture.scheduler.workspaceShareStatus().orElseThrow().stops()).isEqualTo(0);
  }

  private static void endAll(ShareFixture fixture) {
    for (RunningAttempt attempt : List.copyOf(fixture.scheduler.running())) {
      fixture.scheduler.attemptEnded(attempt.attemptId(), EndReason.SUCCEEDED, fixture.nowMs);
    }
  }

  @Test
  void theReasonNamesTheShareOfTheWorkspace() {
    ShareFixture fixture = ShareFixture.withShares(1);
    fixture.submit("running", "a", HALF);
    fixture.startedNow();
    fixture.submit("waits", "b", HOST);
    fixture.startedNow();
    String detail = fixture.scheduler.reason("waits").orElseThrow().detail();
    assertThat(detail).contains("workspace b holds 0.0%");
    assertThat(detail).contains("equal share 25.0%");
    WorkspaceShareStatus status = fixture.scheduler.workspaceShareStatus().orElseThrow();
    assertThat(status.shares()).containsExactly("a", 0.5);
    assertThat(status.passes()).isEqualTo(2);
  }
}
