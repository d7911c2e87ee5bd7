package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Jobs that could run do not wait while hosts are idle, whatever other jobs wait. */
final class IdleCapacityTest {
  private static final int HOSTS = 240;
  private static final int HOSTS_PER_RACK = 12;
  private static final int LARGE_GANG = 64;
  private static final int ACCELERATORS = 8;
  private static final int PROCESSORS = 32_000;
  // An accelerator counts as much as eight processor cores.
  private static final int PROCESSORS_PER_ACCELERATOR = 8000;
  private static final int STARVATION_MS = 600_000;
  private static final int SCAN_LIMIT = 500;
  private static final int START_LIMIT = 64;
  private static final int RESERVE_PERCENT = 45;
  private static final int PASS_INTERVAL_MS = 250;
  private static final int MAX_EXTRA_PASSES = 3;
  private static final int MAX_WAIT_MS = 3000;

  private final Scheduler scheduler =
      new Scheduler(
          new SchedulerSettings(
              STARVATION_MS,
              SCAN_LIMIT,
              START_LIMIT,
              HostHealthSettings.SHORT_JOBS,
              RESERVE_PERCENT,
              Mechanisms.ALL));
  private final List<String> hosts = new ArrayList<>();
  private long nowMs = 1_000_000;

  IdleCapacityTest() {
    scheduler.setPolicies(
        Map.of(
            "batch",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
    for (int i = 0; i < HOSTS; i++) {
      String name = "worker-" + i;
      hosts.add(name);
      scheduler
          .cluster()
          .add(
              new WorkerHost(
                  name,
                  "zone",
                  "rack-" + i / HOSTS_PER_RACK,
                  new ResourceAmount(PROCESSORS, 131_072, ACCELERATORS)));
    }
  }

  private static Job job(ResourceAmount amount, boolean urgent, JobOptions options) {
    return new Job(
        Labels.NONE,
        "workspace",
        "zone",
        Optional.empty(),
        1,
        amount,
        Adjacency.ANY,
        60,
        true,
        urgent,
        JobPhase.SUBMITTED,
        options);
  }

  private static Job gang(int tasks, Job task) {
    return new Job(
        task.labels(),
        task.workspace(),
        task.zone(),
        Optional.empty(),
        tasks,
        task.taskAmount(),
        Adjacency.ANY,
        task.declaredSeconds(),
        true,
        false,
        JobPhase.SUBMITTED,
        task.options());
  }

  private static JobOptions options(int priority, Set<String> hostLabels) {
    return new JobOptions(
        priority,
        hostLabels,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        Set.of(),
        HostSharing.ORDINARY,
        Optional.empty(),
        false);
  }

  private void submit(String name, int count, Job job) {
    for (int i = 0; i < count; i++) {
      scheduler.submit(name + "-" + i, job, nowMs);
    }
  }

  private int waiting(String name) {
    return (int)
        scheduler.waiting().stream().filter(queued -> queued.name().startsWith(name)).count();
  }

  private void advance(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += PASS_INTERVAL_MS) {
      runPasses();
      nowMs += PASS_INTERVAL_MS;
    }
  }

  // A pass that reached its limits is followed by further ones.
  private void runPasses() {
    scheduler.decide(nowMs);
    for (int i = 0; i < MAX_EXTRA_PASSES && scheduler.passIncomplete(); i++) {
      scheduler.decide(nowMs);
    }
  }

  private static ResourceAmount accelerators(int count) {
    return new ResourceAmount(1000, 100, count);
  }

  @Test
  void infeasibleJobsDoNotDelayJobsThatFit() {
    Job infeasible = job(accelerators(1), false, options(0, Set.of("missing")));
    submit("nowhere", 2 * SCAN_LIMIT, infeasible);
    submit("small", 10, job(accelerators(1), false, options(1, Set.of())));
    advance(MAX_WAIT_MS);
    assertThat(waiting("small")).isEqualTo(0);
  }

  @Test
  void largeJobsDoNotDelaySmallJobsThatFitBesideThem() {
    submit("one-a-host", HOSTS, job(new ResourceAmount(20_000, 100, 1), false, JobOptions.NONE));
    advance(MAX_WAIT_MS);
    submit("whole-host", 2 * SCAN_LIMIT, job(accelerators(8), false, options(0, Set.of())));
    submit("small", 10, job(accelerators(1), false, options(1, Set.of())));
    advance(MAX_WAIT_MS);
    assertThat(waiting("small")).isEqualTo(0);
  }

  @Test
  void manyDistinctInfeasibleJobsDoNotDelayOthersForLong() {
    for (int i = 0; i < 4 * SCAN_LIMIT; i++) {
      Job infeasible = job(accelerators(1), false, options(0, Set.of("missing-" + i)));
      submit("nowhere-" + i, 1, infeasible);
    }
    submit("small", 10, job(accelerators(1), false, options(1, Set.of())));
    advance(MAX_WAIT_MS);
    assertThat(waiting("small")).isEqualTo(0);
  }

  @Test
  void capacityIsReservedForAWaitingJobOnlyOnHostsThatMayRunIt() {
    List<String> special = hosts.subList(0, HOSTS_PER_RACK);
    hosts
        .subList(HOSTS_PER_RACK + LARGE_GANG, HOSTS)
        .forEach(host -> scheduler.setHostAvailable(host, false));
    Labels labels = new Labels(Map.of("special", "special"));
    special.forEach(host -> scheduler.cluster().setLabels(host, labels));
    Job onSpecial = job(accelerators(8), false, options(0, Set.of("special")));
    submit("running", HOSTS_PER_RACK, onSpecial);
    advance(PASS_INTERVAL_MS);
    submit("ahead", 1, gang(HOSTS_PER_RACK, onSpecial));
    submit("large", 1, gang(LARGE_GANG, job(accelerators(8), false, JobOptions.NONE)));
    advance(MAX_WAIT_MS);
    assertThat(waiting("ahead")).isEqualTo(1);
    assertThat(waiting("large")).isEqualTo(0);
  }

  /** These jobs use few processors, so half of the accelerators is less than half in total. */
  @Test
  void urgentReserveDelaysNothingWhileLessThanHalfOfTheCapacityIsInUse() {
    submit("wide", 2000, job(new ResourceAmount(2800, 100, 1), false, JobOptions.NONE));
    advanceWithUrgentWork(MAX_WAIT_MS);
    assertHalfInUse();
  }

  @Test
  void unusableHostsDoNotCountTowardsTheUrgentReserve() {
    for (int unusable : List.of(12, 24, 60, 100)) {
      hosts.subList(0, unusable).forEach(host -> scheduler.setHostAvailable(host, false));
      submit("other-" + unusable, 600, job(accelerators(8), false, JobOptions.NONE));
      advanceWithUrgentWork(MAX_WAIT_MS);
      assertHalfInUse();
    }
  }

  @Test
  void urgentReserveIsReleasedSoonAfterTheLastUrgentJob() {
    submit("other", 400, job(accelerators(8), false, JobOptions.NONE));
    advanceWithUrgentWork(MAX_WAIT_MS);
    advance(MAX_WAIT_MS);
    assertThat(waiting("other")).isAtMost(400 - HOSTS + 10);
  }

  /** On a slow processor, a pass can take more than a second. */
  @Test
  void urgentReserveIsReleasedEvenIfPassesAreRare() {
    submit("other", 400, job(new ResourceAmount(PROCESSORS, 100, 8), false, JobOptions.NONE));
    advanceWithUrgentWork(MAX_WAIT_MS);
    int before = waiting("other");
    for (int i = 0; i < 60; i++) {
      nowMs += 1100;
      runPasses();
    }
    assertThat(waiting("other")).isLessThan(before);
  }

  /** Urgent work counts from its submission, even if the next pass is delayed. */
  @Test
  void aLatePassDoesNotExtendTheUrgentReserve() {
    submit("other", 400, job(new ResourceAmount(PROCESSORS, 100, 8), false, JobOptions.NONE));
    advanceWithUrgentWork(MAX_WAIT_MS);
    int before = waiting("other");
    nowMs += 20_000;
    submit("urgent-late", 1, job(accelerators(1), true, JobOptions.NONE));
    advance(10_000 + 2 * PASS_INTERVAL_MS);
    assertThat(waiting("other")).isLessThan(before);
  }

  @Test
  void howLongWorkIsHiddenDoesNotGrowWithTheWorkThatHidesIt() {
    for (int i = 0; i < 8000; i++) {
      submit("nowhere-" + i, 1, job(accelerators(1), false, options(0, Set.of("missing-" + i))));
    }
    submit("small", 10, job(accelerators(1), false, options(1, Set.of())));
    // Passes at the interval that SchedulingPassThrottle sets for long passes.
    for (int elapsedMs = 0; elapsedMs < MAX_WAIT_MS; elapsedMs += 400) {
      scheduler.decide(nowMs);
      nowMs += 400;
    }
    assertThat(waiting("small")).isEqualTo(0);
  }

  /** An accelerator counts as eight cores, however many cores per accelerator a host has. */
  @Test
  void hostsWithManyProcessorsCountAsLessThanHalfInUse() {
    for (String host : hosts) {
      scheduler
          .cluster()
          .add(
              new WorkerHost(
                  host,
                  "zone",
                  scheduler.cluster().host(host).orElseThrow().host().rack(),
                  new ResourceAmount(4 * PROCESSORS, 131_072, ACCELERATORS)));
    }
    submit("other", 2000, job(accelerators(1), false, JobOptions.NONE));
    advanceWithUrgentWork(10 * MAX_WAIT_MS);
    assertHalfInUse();
  }

  private void advanceWithUrgentWork(int ms) {
    for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += PASS_INTERVAL_MS) {
      submit("urgent-" + nowMs, 1, job(accelerators(1), true, JobOptions.NONE));
      advance(PASS_INTERVAL_MS);
    }
  }

  private void assertHalfInUse() {
    long used = 0;
    long all = 0;
    for (HostState host : scheduler.cluster().hosts()) {
      ResourceAmount held = ResourceAmount.ZERO;
      for (String attempt : host.attempts()) {
        held = held.plus(host.held(attempt));
      }
      used += weight(held);
      all += weight(host.host().capacity());
    }
    boolean allUsableInUse = scheduler.cluster().freeAccelerators() < ACCELERATORS;
    assertWithMessage("in use: " + used + " of " + all)
        .that(2 * used >= all || allUsableInUse)
        .isTrue();
  }

  private static long weight(ResourceAmount amount) {
    return amount.processors() + (long) PROCESSORS_PER_ACCELERATOR * amount.accelerators();
  }
}
