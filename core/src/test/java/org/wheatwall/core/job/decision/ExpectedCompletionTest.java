package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.core.job.model.SpeedAwareSettings;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/**
 * Placement by expected completion. An urgent job of 2 s may take 3.3 s, so hosts that take 1.67
 * times as long are too slow for it, and it can wait until 1.1 s for one of ratio 1.
 */
final class ExpectedCompletionTest {
  static final SchedulerSettings SPEED_AWARE =
      new SchedulerSettings(
          600_000,
          500,
          64,
          HostHealthSettings.SHORT_JOBS,
          45,
          Mechanisms.ALL,
          new SchedulingFeatures(
              new SpeedAwareSettings(true),
              WorkspaceShareSettings.DISABLED,
              AdmissionSettings.DISABLED));

  private static final double SLOW = 1 / 0.6;
  private static final double FAST = 1 / 1.6;
  private static final long START_MS = 1_000_000;

  private final Scheduler scheduler = new Scheduler(SPEED_AWARE);

  ExpectedCompletionTest() {
    scheduler.setObjectives(
        Map.of("urgent", new Objective(1.5, 300), "wide", new Objective(3, 3000)));
  }

  private void rack(String rack, double... ratios) {
    for (int i = 0; i < ratios.length; i++) {
      String name = rack + "-" + i;
      scheduler
          .cluster()
          .add(new WorkerHost(name, "zone", rack, new ResourceAmount(32_000, 1000, 8)));
      scheduler.cluster().setRunTimeRatio(name, ratios[i]);
    }
    scheduler.hostsChanged();
  }

  private static Job job(String kind, int tasks, int accelerators, int seconds) {
    return job(kind, tasks, accelerators, seconds, true);
  }

  private static Job job(
      String kind, int tasks, int accelerators, int seconds, boolean preemptible) {
    return new Job(
        new Labels(Map.of(RunTimeEstimator.CLASS_LABEL, kind)),
        "workspace",
        "zone",
        Optional.empty(),
        tasks,
        new ResourceAmount(1000, 10, accelerators),
        Adjacency.SAME_RACK,
        seconds,
        preemptible,
        kind.equals("urgent"),
        JobPhase.SUBMITTED);
  }

  private void submit(String name, Job job) {
    scheduler.submit(name, job, START_MS);
  }

  /** Runs a pass and returns the hosts of the job, empty if it does not run. */
  private List<String> decideAndFind(String name, long afterMs) {
    scheduler.decide(START_MS + afterMs);
    return scheduler
        .attemptOf(name)
        .flatMap(scheduler.cluster()::placement)
        .map(placement -> placement.hosts())
        .orElse(List.of());
  }

  // Work that is urgent as well, so that it is not stopped for the job under test.
  private void occupy(String host, int seconds) {
    String name = "on-" + host;
    scheduler.adopt(
        name + ".0.0",
        name,
        job("urgent", 1, 8, seconds),
        START_MS,
        new Placement(List.of(host)),
        START_MS);
  }

  private void end(String host, long afterMs) {
    scheduler.attemptEnded("on-" + host + ".0.0", EndReason.SUCCEEDED, START_MS + afterMs);
  }

  private Optional<WaitReason.Kind> reason(String name) {
    return scheduler.reasonKind(name);
  }

  @Test
  void gangWithLittleSlackAvoidsTheOneSlowHostOfARack() {
    rack("r", SLOW, 1, 1);
    submit("gang", job("urgent", 2, 8, 2));
    assertThat(decideAndFind("gang", 0)).containsExactly("r-1", "r-2");
  }

  @Test
  void gangWithLittleSlackLeavesAFullerRackOfSlowHosts() {
    rack("slow", SLOW, SLOW);
    rack("other", 1, 1, 1);
    submit("gang", job("urgent", 2, 8, 2));
    assertThat(decideAndFind("gang", 0)).containsExactly("other-0", "other-1");
  }

  @Test
  void singleTasksTakeTheSlowHostsFirst() {
    rack("r", FAST, 1, SLOW);
    submit("a", job("wide", 1, 8, 5));
    submit("b", job("wide", 1, 8, 5));
    submit("c", job("wide", 1, 8, 5));
    assertThat(decideAndFind("a", 0)).containsExactly("r-2");
    assertThat(decideAndFind("b", 0)).containsExactly("r-1");
    assertThat(decideAndFind("c", 0)).containsExactly("r-0");
  }

  @Test
  void singleTasksWithoutAnObjectiveTakeTheSlowHostsFirstButNotMuchSlowerOnes() {
    rack("r", FAST, 1, SLOW, 5);
    submit("a", job("other", 1, 8, 5));
    assertThat(decideAndFind("a", 0)).containsExactly("r-2");
  }

  @Test
  void workThatFoundNoCapacityTakesTheFastestHosts() {
    rack("r", FAST, 1, SLOW);
    submit("a", job("wide", 1, 8, 5));
    assertThat(decideAndFind("a", 501)).containsExactly("r-0");
  }

  @Test
  void gangPrefersHostsOfLikeSpeed() {
    rack("mixed", FAST, 1, 1);
    rack("equal", 1, 1, 1, FAST);
    submit("gang", job("urgent", 3, 8, 2));
    assertThat(decideAndFind("gang", 0)).containsExactly("equal-0", "equal-1", "equal-2");
  }

  @Test
  void gangUsesHostsOfSeveralSpeedsIfNecessary() {
    rack("r", FAST, SLOW, 1);
    submit("gang", job("urgent", 2, 8, 2));
    assertThat(decideAndFind("gang", 0)).containsExactly("r-0", "r-2");
  }

  @Test
  void withoutAnyFastHostTheLeastSlowOneIsUsedAtOnce() {
    rack("r", 3, SLOW);
    submit("a", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).containsExactly("r-1");
  }

  @Test
  void jobStartsAtOnceOnASlowHostIfNoFasterOneIsExpectedInTime() {
    rack("r", 1, SLOW);
    occupy("r-0", 2);
    submit("a", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).containsExactly("r-1");
  }

  @Test
  void jobWaitsForAFasterHostThatIsExpectedInTimeAndHoldsUpNoOther() {
    rack("r", 1, SLOW, SLOW);
    occupy("r-0", 1);
    submit("a", job("urgent", 1, 8, 2));
    submit("b", job("wide", 1, 8, 5));
    assertThat(decideAndFind("a", 0)).isEmpty();
    assertThat(reason("a")).hasValue(WaitReason.Kind.FASTER_HOSTS_EXPECTED);
    assertThat(decideAndFind("b", 0)).containsExactly("r-1");
    assertThat(decideAndFind("a", 500)).isEmpty();
    end("r-0", 900);
    assertThat(decideAndFind("a", 900)).containsExactly("r-0");
  }

  @Test
  void waitEndsIfTheFasterHostIsNotFreeWhenExpected() {
    rack("r", 1, SLOW);
    occupy("r-0", 1);
    submit("a", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).isEmpty();
    assertThat(decideAndFind("a", 1000)).containsExactly("r-1");
  }

  @Test
  void waitEndsWhenTheJobWouldBeLateOnAnyHost() {
    rack("r", 1, SLOW);
    occupy("r-0", 1);
    scheduler.submit("a", job("urgent", 1, 8, 2), START_MS - 200);
    assertThat(decideAndFind("a", 0)).containsExactly("r-1");
  }

  @Test
  void noJobWaitsLongBesideIdleHostsWhileLessThanHalfOfTheCapacityIsInUse() {
    rack("r", 1, SLOW, SLOW, SLOW);
    occupy("r-0", 5);
    submit("a", job("urgent", 1, 8, 20));
    assertThat(decideAndFind("a", 999)).isEmpty();
    assertThat(decideAndFind("a", 1000)).isNotEmpty();
  }

  @Test
  void ratiosThatChangeWhileAJobWaitsAreUsedAtOnce() {
    rack("r", 1, SLOW);
    occupy("r-0", 1);
    submit("a", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).isEmpty();
    scheduler.cluster().setRunTimeRatio("r-1", 1.1);
    assertThat(decideAndFind("a", 100)).containsExactly("r-1");
  }

  @Test
  void halfOfTheHostsSlow() {
    rack("a", 1, SLOW, 1, SLOW);
    rack("b", SLOW, 1, SLOW, 1);
    Set<String> urgentHosts = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      submit("urgent-" + i, job("urgent", 2, 8, 2));
      submit("wide-" + i, job("wide", 1, 8, 5));
    }
    for (int i = 0; i < 2; i++) {
      urgentHosts.addAll(decideAndFind("urgent-" + i, 0));
      String single = decideAndFind("wide-" + i, 0).get(0);
      assertThat(scheduler.cluster().host(single).orElseThrow().runTimeRatio()).isEqualTo(SLOW);
    }
    assertThat(urgentHosts).containsExactly("a-0", "a-2", "b-1", "b-3");
  }

  @Test
  void jobWithinItsGuaranteeNeverWaitsForFasterHosts() {
    rack("r", 1, SLOW);
    occupy("r-0", 1);
    scheduler.setUrgentGuarantees(Map.of("workspace", 16));
    submit("a", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).containsExactly("r-1");
  }

  @Test
  void fastHostsPlannedForAGuaranteeStayReclaimable() {
    rack("r", FAST, SLOW);
    GuaranteedShape shape =
        new GuaranteedShape(
            Labels.NONE,
            "workspace",
            "zone",
            1,
            new ResourceAmount(1000, 10, 8),
            Adjacency.SAME_RACK,
            1);
    scheduler.setShapes(Map.of("shape", shape));
    submit("a", job("urgent", 1, 8, 2, false));
    submit("b", job("urgent", 1, 8, 2, false));
    scheduler.decide(START_MS);
    assertThat(scheduler.running().size()).isAtMost(1);
    assertThat(scheduler.brokenGuarantees()).isEmpty();
  }

  @Test
  void quotaHoldsAlsoIfFastHostsAreFree() {
    rack("r", FAST, FAST, 1);
    scheduler.setWorkspaces(Map.of("workspace", new Workspace(Labels.NONE, 8, 1, 0)));
    submit("a", job("urgent", 1, 8, 2));
    submit("b", job("urgent", 1, 8, 2));
    assertThat(decideAndFind("a", 0)).hasSize(1);
    assertThat(reason("b")).hasValue(WaitReason.Kind.QUOTA);
  }
}
