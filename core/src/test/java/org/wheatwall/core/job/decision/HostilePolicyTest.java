package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Selector;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;
import org.wheatwall.core.job.policy.Backfill;
import org.wheatwall.core.job.policy.QueueRank;
import org.wheatwall.core.job.policy.SchedulingPolicy;

/**
 * Runs a policy that splits gangs, proposes hosts that are full, cordoned or unknown, violates
 * adjacency, throws exceptions, and always ranks the largest job last. Guards against a scheduler
 * that does not validate proposals.
 */
final class HostilePolicyTest {
  private static final int CASES = 300;
  private static final int STARVATION_MS = 10_000;
  private static final ResourceAmount HOST = new ResourceAmount(32, 65536, 8);
  private static final PolicySpec SPEC =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.FIRST_FIT, "", 1, 0, 0, false);

  private static Scheduler zone(SplittableRandom random) {
    Scheduler scheduler = new Scheduler(new SchedulerSettings(STARVATION_MS, 500, 64));
    for (int rack = 0; rack < 2; rack++) {
      for (int host = 0; host < 3; host++) {
        scheduler
            .cluster()
            .add(new WorkerHost("worker-" + rack + host, "z1", "rack-" + rack, HOST));
      }
    }
    scheduler.setShapes(
        Map.of(
            "shape",
            new GuaranteedShape(
                Labels.NONE,
                "delta",
                "z1",
                2,
                new ResourceAmount(1, 1, 8),
                Adjacency.SAME_RACK,
                1)));
    scheduler.setCordoned(Set.of("worker-02"));
    SchedulingPolicy hostile =
        new SchedulingPolicy(
            largestLast(random), (job, view) -> propose(job, random), Backfill.GREEDY);
    PolicyTable.Entry entry = new PolicyTable.Entry("hostile", SPEC, Selector.parse(""), hostile);
    scheduler.setPolicyTable(new PolicyTable(List.of(entry)));
    return scheduler;
  }

  private static QueueRank largestLast(SplittableRandom random) {
    return (job, nowMs) -> {
      if (random.nextInt(50) == 0) {
        throw new IllegalStateException("hostile rank");
      }
      return random.nextInt(20) == 0 ? Double.NaN : job.job().totalAccelerators();
    };
  }

  private static Optional<Placement> propose(Job job, SplittableRandom random) {
    if (random.nextInt(10) == 0) {
      throw new IllegalStateException("hostile placement");
    }
    int tasks = random.nextInt(4) == 0 ? random.nextInt(4) : job.tasks();
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      hosts.add("worker-" + random.nextInt(2) + random.nextInt(5));
    }
    return Optional.of(new Placement(hosts));
  }

  private static Job job(SplittableRandom random, int tasks, int accelerators, String shape) {
    return new Job(
        Labels.NONE,
        "delta",
        "z1",
        Optional.ofNullable(shape),
        tasks,
        new ResourceAmount(1, 1, accelerators),
        tasks > 1 ? Adjacency.SAME_RACK : Adjacency.ANY,
        60,
        shape == null && random.nextInt(3) > 0,
        false,
        JobPhase.SUBMITTED);
  }

  @Test
  void noProposalBreaksAGuaranteeSplitsAGangOrStarvesALargeJob() {
    long rejected = 0;
    for (long seed = 1; seed <= CASES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Scheduler scheduler = zone(random);
      long nowMs = 0;
      // Small jobs keep arriving while a gang that needs two whole hosts waits.
      scheduler.submit("large", reclaimable(2, 8), 0);
      while (nowMs <= STARVATION_MS + 1000) {
        scheduler.submit("small-" + nowMs, job(random, 1, 1 + random.nextInt(4), null), nowMs);
        check(seed, scheduler, scheduler.decide(nowMs));
        endStopped(scheduler, nowMs);
        nowMs += 500;
      }
      assertWithMessage("seed " + seed + " guarantees")
          .that(scheduler.brokenGuarantees())
          .isEmpty();
      scheduler.submit("asked", job(random, 2, 8, "shape"), nowMs);
      check(seed, scheduler, scheduler.decide(nowMs));
      assertWithMessage("seed " + seed + " guarantee " + scheduler.reason("asked"))
          .that(scheduler.attemptOf("asked"))
          .isPresent();
      rejected += scheduler.invalidProposals();
    }
    assertThat(rejected).isGreaterThan(CASES);
  }

  @Test
  void largeJobStartsAfterTheStarvationBound() {
    for (long seed = 1; seed <= 50; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Scheduler scheduler = zone(random);
      scheduler.setShapes(Map.of());
      scheduler.submit("large", reclaimable(2, 8), 0);
      long startedMs = -1;
      for (long nowMs = 100; nowMs < 3 * STARVATION_MS && startedMs < 0; nowMs += 100) {
        scheduler.submit("small-" + nowMs, reclaimable(1, 2), nowMs);
        check(seed, scheduler, scheduler.decide(nowMs));
        endStopped(scheduler, nowMs);
        startedMs = scheduler.attemptOf("large").isPresent() ? nowMs : -1;
      }
      assertWithMessage("seed " + seed).that(startedMs).isAtLeast(0L);
      assertWithMessage("seed " + seed).that(startedMs).isAtMost(STARVATION_MS + 200L);
    }
  }

  private static Job reclaimable(int tasks, int accelerators) {
    return new Job(
        Labels.NONE,
        "delta",
        "z1",
        Optional.empty(),
        tasks,
        new ResourceAmount(1, 1, accelerators),
        tasks > 1 ? Adjacency.SAME_RACK : Adjacency.ANY,
        60,
        true,
        false,
        JobPhase.SUBMITTED);
  }

  private static void endStopped(Scheduler scheduler, long nowMs) {
    for (RunningAttempt attempt : List.copyOf(scheduler.running())) {
      if (attempt.stopping()) {
        scheduler.attemptEnded(attempt.attemptId(), EndReason.INTERRUPTED, nowMs);
      }
    }
  }

  private static void check(long seed, Scheduler scheduler, List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        Set<String> racks = new HashSet<>();
        for (String host : start.placement().hosts()) {
          assertWithMessage("seed " + seed + " cordoned").that(host).isNotEqualTo("worker-02");
          racks.add(scheduler.cluster().host(host).orElseThrow().host().rack());
        }
        assertWithMessage("seed " + seed + " whole gang")
            .that(start.placement().hosts())
            .hasSize(start.job().tasks());
        assertWithMessage("seed " + seed + " adjacency")
            .that(start.job().tasks() == 1 || racks.size() == 1)
            .isTrue();
      }
    }
  }
}
