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
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.Workspace;

final class SchedulerTest {
  private static final int STARVATION_MS = 10_000;

  private final Scheduler scheduler = new Scheduler(new SchedulerSettings(STARVATION_MS, 500, 64));

  private void hosts(int racks, int perRack) {
    for (int rack = 0; rack < racks; rack++) {
      for (int host = 0; host < perRack; host++) {
        scheduler
            .cluster()
            .add(
                new WorkerHost(
                    "worker-" + rack + "-" + host,
                    "z1",
                    "rack-" + rack,
                    new ResourceAmount(32, 65536, 8)));
      }
    }
  }

  private static Job job(int tasks, int accelerators, boolean preemptible, boolean urgent) {
    return new Job(
        new Labels(Map.of("tier", "clinic")),
        "delta",
        "z1",
        Optional.empty(),
        tasks,
        new ResourceAmount(1, 64, accelerators),
        Adjacency.SAME_RACK,
        60,
        preemptible,
        urgent,
        JobPhase.SUBMITTED);
  }

  private static PolicySpec policy(PolicyAlgorithm algorithm, int precedence, String selector) {
    return new PolicySpec(Labels.NONE, algorithm, selector, precedence, 50, 50, false);
  }

  @Test
  void infeasibleJobReportsWhatIsMissingAndBlocksNoOther() {
    hosts(1, 2);
    scheduler.submit("giant", job(1, 9, true, false), 0);
    scheduler.submit("small", job(1, 1, true, false), 1);
    scheduler.decide(2);
    WaitReason reason = scheduler.reason("giant").orElseThrow();
    assertThat(reason.kind()).isEqualTo(WaitReason.Kind.NEVER_FITS);
    assertThat(reason.detail()).contains("closest host worker-0-0");
    assertThat(scheduler.attemptOf("small")).isPresent();
  }

  // Both need the capacity of one gang. Guards against starting the second job at once because that
  // gang is already stopping.
  @Test
  void urgentWorkWaitsForWorkThatIsStoppingForOthers() {
    hosts(1, 1);
    scheduler.submit("other", job(1, 8, true, false), 0);
    String other = scheduler.decide(0).stream().map(SchedulerTest::started).findFirst().get();
    scheduler.submit("first", job(1, 4, false, true), 1);
    scheduler.decide(1);
    scheduler.submit("second", job(1, 4, false, true), 2);
    List<Decision> decisions = scheduler.decide(2);
    assertThat(decisions).hasSize(1);
    assertThat(((Decision.Start) decisions.get(0)).victims()).containsExactly(other);
  }

  private static String started(Decision decision) {
    return ((Decision.Start) decision).attemptId();
  }

  @Test
  void urgentWorkStopsOtherWorkAtOnce() {
    hosts(1, 1);
    scheduler.submit("filler", job(1, 8, true, false), 0);
    scheduler.decide(0);
    scheduler.submit("urgent", job(1, 8, false, true), 1);
    List<Decision> decisions = scheduler.decide(1);
    assertThat(decisions.get(0)).isInstanceOf(Decision.Stop.class);
    assertThat(((Decision.Start) decisions.get(1)).victims()).hasSize(1);
  }

  @Test
  void largeJobStartsAfterTheStarvationBoundDespiteAStreamOfSmallJobs() {
    hosts(1, 2);
    for (int i = 0; i < 16; i++) {
      scheduler.submit("early-" + i, job(1, 1, true, false), 0);
    }
    scheduler.decide(0);
    scheduler.submit("large", job(2, 8, true, false), 1);
    long startedMs = -1;
    for (int t = 100; t < 4 * STARVATION_MS && startedMs < 0; t += 100) {
      scheduler.submit("small-" + t, job(1, 1, true, false), t);
      for (RunningAttempt old : List.copyOf(scheduler.running())) {
        // Small jobs end after two seconds and free capacity that the next one fills.
        if (t - old.startedAtMs() >= 2000) {
          scheduler.attemptEnded(old.attemptId(), EndReason.SUCCEEDED, t);
        }
      }
      scheduler.decide(t);
      startedMs = scheduler.attemptOf("large").isPresent() ? t : -1;
    }
    assertThat(startedMs).isAtLeast(0L);
    assertThat(startedMs).isAtMost(STARVATION_MS + 200L);
  }

  @Test
  void replacingPoliciesNeitherLosesNorMovesJobs() {
    hosts(2, 2);
    for (int i = 0; i < 40; i++) {
      scheduler.submit("job-" + i, job(1, 2, true, false), i);
    }
    scheduler.setPolicies(Map.of("a", policy(PolicyAlgorithm.FIRST_FIT, 1, "")));
    scheduler.decide(100);
    Set<String> running = new HashSet<>();
    scheduler.running().forEach(attempt -> running.add(attempt.attemptId()));
    int waiting = scheduler.waiting().size();
    scheduler.setPolicies(Map.of("b", policy(PolicyAlgorithm.BLEND, 1, "")));
    scheduler.decide(200);
    Set<String> after = new HashSet<>();
    scheduler.running().forEach(attempt -> after.add(attempt.attemptId()));
    assertThat(after).isEqualTo(running);
    assertThat(scheduler.waiting()).hasSize(waiting);
    assertThat(running.size() + waiting).isEqualTo(40);
  }

  @Test
  void ofOverlappingPoliciesTheHighestPrecedenceWins() {
    PolicyTable table =
        PolicyTable.ofActive(
            Map.of(
                "z-first", policy(PolicyAlgorithm.FIRST_FIT, 5, "tier=clinic"),
                "a-best", policy(PolicyAlgorithm.BEST_FIT, 5, ""),
                "low", policy(PolicyAlgorithm.BACKFILL, 1, "")),
            Mechanisms.ALL);
    assertThat(table.policyFor(job(1, 1, true, false)).name()).isEqualTo("a-best");
  }

  @Test
  void jobBeyondTheWorkspaceQuotaWaits() {
    hosts(1, 2);
    scheduler.setWorkspaces(Map.of("delta", new Workspace(Labels.NONE, 8, 1, 0)));
    scheduler.submit("one", job(1, 8, true, false), 0);
    scheduler.submit("two", job(1, 1, true, false), 1);
    scheduler.decide(2);
    assertThat(scheduler.reason("two").orElseThrow().kind()).isEqualTo(WaitReason.Kind.QUOTA);
  }

  @Test
  void hostThatFailsEverythingIsQuarantinedAfterThreeFailuresAndProbedLater() {
    hosts(1, 1);
    for (int i = 0; i < HostHealthSettings.DEFAULT.failures(); i++) {
      assertThat(scheduler.cluster().host("worker-0-0").orElseThrow().usable()).isTrue();
      scheduler.taskFailed("worker-0-0", i);
    }
    scheduler.submit("job", job(1, 1, true, false), 10);
    scheduler.decide(10);
    assertThat(scheduler.attemptOf("job")).isEmpty();
    scheduler.decide(60_000);
    assertThat(scheduler.attemptOf("job")).isPresent();
    scheduler.taskFailed("worker-0-0", 60_001);
    assertThat(scheduler.cluster().host("worker-0-0").orElseThrow().usable()).isFalse();
  }
}
