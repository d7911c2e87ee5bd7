package org.wheatwall.core.batch.decision;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.BatchJob;
import org.wheatwall.core.batch.model.GroupKey;
import org.wheatwall.core.batch.model.GroupPhase;
import org.wheatwall.core.batch.model.GroupState;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.decision.Decision;
import org.wheatwall.core.job.decision.EndReason;
import org.wheatwall.core.job.decision.HostHealthSettings;
import org.wheatwall.core.job.decision.Scheduler;
import org.wheatwall.core.job.decision.SchedulerSettings;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.AdmissionSettings;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Objective;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.SchedulingFeatures;
import org.wheatwall.core.job.model.SpeedAwareSettings;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.model.WorkspaceShareSettings;

/**
 * Plays 0.5 to 8 times the capacity for 30 s, three quarters of it of high priority, with
 * submitters that return after Retry-After up to four times. The goodput is the number of jobs
 * whose result came while it was of use.
 */
final class AdmissionLoadTest {
  private static final int HOSTS = 2;
  private static final int ACCELERATORS = 8 * HOSTS;
  private static final int RUN_MS = 2000;
  private static final int ARRIVALS_MS = 30_000;
  private static final int MAX_ATTEMPTS = 5;
  private static final int PASS_INTERVAL_MS = 200;
  private static final double HIGH_PRIORITY_SHARE = 0.75;
  private static final int SEEDS = 2;
  private static final Objective OBJECTIVE = new Objective(2, 1000);
  private static final AdmissionSettings SETTINGS = new AdmissionSettings(true, 3, 30);
  // Jobs whose result is of no more use go last, as the rule assumes.
  private static final SchedulingFeatures FEATURES =
      new SchedulingFeatures(SpeedAwareSettings.DISABLED, WorkspaceShareSettings.USUAL, SETTINGS);

  private record Event(long atMs, long number, Runnable task) {}

  /** One play of a load. */
  private static final class Play {
    private final boolean rejects;
    private final Random random;
    private final BacklogTracker backlog = new BacklogTracker();
    private final AdmissionRule rule = new AdmissionRule(SETTINGS, backlog);
    private final Scheduler scheduler =
        new Scheduler(
            new SchedulerSettings(
                600_000, 500, 64, HostHealthSettings.SHORT_JOBS, 0, Mechanisms.ALL, FEATURES));
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final Map<String, Long> acceptedAtMs = new HashMap<>();
    private final List<String> rejected = new ArrayList<>();
    private final Set<String> useful = new HashSet<>();
    private final Set<String> alwaysAccepted = new HashSet<>();
    private long nowMs;
    private long eventNumber;

    private Play(double load, long seed, boolean rejects) {
      this.rejects = rejects;
      this.random = new Random(seed);
      for (int i = 0; i < HOSTS; i++) {
        ResourceAmount capacity = new ResourceAmount(64_000, 1000, 8);
        scheduler.cluster().add(new WorkerHost("host-" + i, "zone", "rack", capacity));
      }
      scheduler.setObjectives(Map.of("queue", OBJECTIVE));
      scheduler.setPolicies(
          Map.of(
              "policy",
              new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
      double meanGapMs = RUN_MS / (ACCELERATORS * load);
      scheduleArrivals("high", meanGapMs / HIGH_PRIORITY_SHARE);
      scheduleArrivals("low", meanGapMs / (1 - HIGH_PRIORITY_SHARE));
      for (long atMs = 0; atMs < 2 * ARRIVALS_MS; atMs += PASS_INTERVAL_MS) {
        schedule(atMs, this::decide);
      }
    }

    private void scheduleArrivals(String kind, double meanGapMs) {
      int number = 0;
      double atMs = 0;
      while (atMs < ARRIVALS_MS) {
        String id = kind + "-" + number++;
        schedule((long) atMs, () -> attempt(id, 1));
        atMs -= meanGapMs * Math.log(1 - random.nextDouble());
      }
    }

    private Play run() {
      while (!events.isEmpty()) {
        Event event = events.poll();
        nowMs = event.atMs();
        event.task().run();
      }
      return this;
    }

    private void schedule(long atMs, Runnable task) {
      events.add(new Event(atMs, eventNumber++, task));
    }

    private void attempt(String id, int attempt) {
      BatchJob job = BacklogTrackerTest.job(id, "w", id.startsWith("high") ? 1 : 2, 1, 1);
      Optional<AdmissionRule.Rejection> rejection =
          rejects && !alwaysAccepted.contains(id)
              ? rule.check(job, OBJECTIVE, ACCELERATORS, 1, nowMs)
              : Optional.empty();
      if (rejection.isEmpty()) {
        accept(job);
      } else if (attempt < MAX_ATTEMPTS) {
        long delayMs = rejection.get().retryAfterSeconds() * 1000L;
        schedule(nowMs + delayMs, () -> attempt(id, attempt + 1));
      } else {
        rejected.add(id);
      }
    }

    private void accept(BatchJob job) {
      acceptedAtMs.put(job.id(), nowMs);
      backlog.addJob(job);
      Job waiting =
          new Job(
              new Labels(Map.of("class", "queue")),
              "w",
              "zone",
              Optional.empty(),
              1,
              job.steps().get(0).taskAmount(),
              Adjacency.ANY,
              RUN_MS / 1000,
              true,
              false,
              JobPhase.SUBMITTED,
              new JobOptions(
                  job.priority(),
                  Set.of(),
                  Optional.empty(),
                  Optional.empty(),
                  0,
                  false,
                  Set.of(),
                  HostSharing.ORDINARY,
                  Optional.empty(),
                  false));
      scheduler.submit(job.id(), waiting, nowMs);
    }

    private void decide() {
      for (Decision decision : scheduler.decide(nowMs)) {
        if (decision instanceof Decision.Start start) {
          backlog.onGroupChanged(
              new GroupKey(start.jobName(), 0, 0, 0),
              Optional.empty(),
              Optional.of(GroupState.NEW.withoutActiveRun(GroupPhase.ACTIVE)));
          long runMs = Math.round(RUN_MS * Math.exp(random.nextGaussian() * 0.3));
          schedule(nowMs + runMs, () -> end(start));
        }
      }
    }

    private void end(Decision.Start start) {
      scheduler.attemptEnded(start.attemptId(), EndReason.SUCCEEDED, nowMs);
      backlog.removeJob(start.jobName());
      if (nowMs - acceptedAtMs.get(start.jobName()) <= 3 * OBJECTIVE.allowedMs(RUN_MS)) {
        useful.add(start.jobName());
      }
    }
  }

  private static int goodput(double load, boolean rejects) {
    int sum = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      sum += new Play(load, seed, rejects).run().useful.size();
    }
    return sum;
  }

  @Test
  void goodputUnderOverloadIsNotBelowThatAtCapacity() {
    int atCapacity = goodput(1, true);
    for (double load : List.of(3.0, 8.0)) {
      int goodput = goodput(load, true);
      String both = "load " + load + ": " + goodput + ", at capacity " + atCapacity;
      assertWithMessage(both).that(goodput).isAtLeast(atCapacity);
    }
  }

  @Test
  void nothingIsRejectedAtHalfOfTheCapacity() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      assertWithMessage("seed " + seed).that(new Play(0.5, seed, true).run().rejected).isEmpty();
    }
  }

  // Each rejected job of a sample is let in at its first attempt in a play of its own.
  @Test
  void atMostOneInTwentyRejectedJobsCouldHaveBeenOfUse() {
    int sampled = 0;
    int servable = 0;
    for (double load : List.of(3.0, 8.0)) {
      List<String> rejected = new Play(load, 1, true).run().rejected;
      for (int i = 0; i < rejected.size(); i += Math.max(1, rejected.size() / 20)) {
        Play play = new Play(load, 1, true);
        play.alwaysAccepted.add(rejected.get(i));
        sampled++;
        servable += play.run().useful.contains(rejected.get(i)) ? 1 : 0;
      }
    }
    String counts = servable + " of " + sampled;
    assertWithMessage(counts).that(sampled).isAtLeast(20);
    assertWithMessage(counts).that(20 * servable).isAtMost(sampled);
  }
}
