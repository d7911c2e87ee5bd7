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
 * A candidate in shadow decides nothing and is measured on the same jobs. Catches a shadow that
 * shares state with the scheduler that decides, and one that is compared on other inputs.
 */
final class ShadowRunTest {
  private static final SchedulerSettings SETTINGS = new SchedulerSettings(600_000, 500, 64);
  private static final int JOBS = 40;
  private static final long TICK_MS = 1000;

  private final Scheduler real = new Scheduler(SETTINGS);
  private final ShadowRuns shadows = new ShadowRuns(SETTINGS);

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

  // Every fourth job is long; the run time is what is declared.
  private static int seconds(int index) {
    return index % 4 == 0 ? 200 : 10;
  }

  private void run(PolicyAlgorithm candidate) {
    real.cluster().add(new WorkerHost("worker-1", "z1", "rack-1", new ResourceAmount(8, 8, 8)));
    real.setPolicies(Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false)));
    shadows.configure(
        Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false), "new", policy(candidate, true)),
        real);
    for (int i = 0; i < JOBS; i++) {
      String name = String.format("job-%02d", i);
      Job job = job(seconds(i));
      long atMs = i;
      real.submit(name, job, atMs);
      shadows.forEach(run -> run.onSubmitted(name, job, atMs));
    }
    for (long nowMs = 100; nowMs < 3_000_000; nowMs += TICK_MS) {
      long now = nowMs;
      for (RunningAttempt attempt : List.copyOf(real.running())) {
        long tookMs = attempt.job().declaredSeconds() * 1000L;
        if (attempt.startedAtMs() + tookMs <= now) {
          shadows.forEach(run -> run.onSucceeded(attempt.jobName(), tookMs, now));
          real.attemptEnded(attempt.attemptId(), EndReason.SUCCEEDED, now);
        }
      }
      List<Decision> decisions = real.decide(now);
      int running = real.running().size();
      int waiting = real.waiting().size();
      shadows.forEach(run -> run.decide(real.cluster().fragmentation(), now));
      assertThat(real.running()).hasSize(running);
      assertThat(real.waiting()).hasSize(waiting);
      assertThat(decisions.size()).isAtMost(1);
    }
  }

  @Test
  void samePolicyInShadowAchievesTheSame() {
    run(PolicyAlgorithm.FIRST_FIT);
    ShadowRun run = shadows.runs().get("new");
    assertThat(run.active().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().meanCompletionSeconds())
        .isWithin(JOBS)
        .of(run.active().meanCompletionSeconds());
  }

  @Test
  void betterPolicyShowsItsAdvantageBesideTheActiveOne() {
    run(PolicyAlgorithm.SHORTEST_FIRST);
    ShadowRun run = shadows.runs().get("new");
    assertThat(run.candidate().completedJobs()).isEqualTo(JOBS);
    assertThat(run.candidate().meanCompletionSeconds())
        .isLessThan(0.7 * run.active().meanCompletionSeconds());
  }

  @Test
  void candidateEndsWhenItIsNoLongerConfigured() {
    run(PolicyAlgorithm.BEST_FIT);
    shadows.configure(Map.of("active", policy(PolicyAlgorithm.FIRST_FIT, false)), real);
    assertThat(shadows.runs()).isEmpty();
  }
}
