package org.wheatwall.core.job.shadow;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.RunningAttempt;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/**
 * A candidate in shadow has no effect on real jobs and is measured on the same jobs. Guards against
 * a shadow run that shares state with the active scheduler, and one that is compared on different
 * inputs.
 */
final class ShadowRunTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(600_000, 500, 64);
  private static final int JOBS = 40;
  private static final long TICK_MS = 1000;

  private final Scheduler active = new Scheduler(SETTINGS);
  private final ShadowRuns shadowRuns = new ShadowRuns(SETTINGS);

  private static PolicySpec policy(PolicyAlgorithm algorithm, boolean shadow) {
    return new PolicySpec(Labels.NONE, algorithm, "", 1, 100, 0, shadow);
  }

  private static Job job(int seconds) {
    return new Job(
        Labels.NONE,
        "delta",
        "z1",
        Optional.empty(),
        1,
        new ResourceAmount(1, 1, 8),
        Adjacency.ANY,
        seconds,
        true,
        false,
        JobPhase.SUBMITTED);
  }

  // Every fourth job is long; the real run time equals the declared one.
  private static int seconds(int index) {
    return index % 4 == 0 ? 200 : 10;
  }

  private void run(PolicyAlgorithm candidate) {
    active.cluster().add(new WorkerHost("worker-1", "z1", "rack-1", new ResourceAmount(8, 8, 8)));
    active.setPolicies(Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false)));
    shadowRuns.configure(
        Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false), "new", policy(candidate, true)),
        active);
    for (int i = 0; i < JOBS; i++) {
      String name = String.format("job-%02d", i);
      Job job = job(seconds(i));
      long atMs = i;
      active.submit(name, job, atMs);
      shadowRuns.forEach(run -> run.onSubmitted(name, job, atMs));
    }
    for (long nowMs = 100; nowMs < 3_000_000; nowMs += TICK_MS) {
      long now = nowMs;
      for (RunningAttempt attempt : List.copyOf(active.running())) {
        long tookMs = attempt.job().declaredSeconds() * 1000L;
        if (attempt.startedAtMs() + tookMs <= now) {
          shadowRuns.forEach(run -> run.onSucceeded(attempt.jobName(), tookMs, now));
          active.attemptEnded(attempt.attemptId(), EndReason.SUCCEEDED, now);
        }
      }
      List<Decision> decisions = active.decide(now);
      int running = active.running().size();
      int waiting = active.waiting().size();
      shadowRuns.forEach(run -> run.decide(active.cluster().fragmentation(), now));
      assertThat(active.running()).hasSize(running);
      assertThat(active.waiting()).hasSize(waiting);
      assertThat(decisions.size()).isAtMost(1);
    }
  }

  @Test
  void samePolicyInShadowAchievesTheSame() {
    run(PolicyAlgorithm.FIRST_FIT);
    ShadowRun run = shadowRuns.runs().get("new");
    assertThat(run.active().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().meanCompletionSeconds())
        .isWithin(JOBS)
        .of(run.active().meanCompletionSeconds());
  }

  @Test
  void betterPolicyShowsItsAdvantageBesideTheActiveOne() {
    run(PolicyAlgorithm.SHORTEST_FIRST);
    ShadowRun run = shadowRuns.runs().get("new");
    assertThat(run.candidate().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().meanCompletionSeconds())
        .isLessThan(0.7 * run.active().meanCompletionSeconds());
  }

  @Test
  void candidateEndsWhenItIsNoLongerConfigured() {
    run(PolicyAlgorithm.BEST_FIT);
    shadowRuns.configure(Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false)), active);
    assertThat(shadowRuns.runs()).isEmpty();
  }
}
