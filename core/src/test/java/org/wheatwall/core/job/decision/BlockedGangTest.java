package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSharing;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobOptions;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WaitReason;
import org.wheatwall.core.job.model.WorkerHost;

/** A gang waits at the head of the queue: what is kept free for it, and what is not. */
final class BlockedGangTest {
  private static final ResourceAmount HOST = new ResourceAmount(32_000, 64_000, 8);
  private static final ResourceAmount SMALL = new ResourceAmount(2800, 7400, 1);
  private static final int GANG_PRIORITY = 1;
  private static final int FOLLOWER_PRIORITY = 2;
  private static final int HOSTS = 8;
  private static final int FOLLOWERS = 8;
  private static final String GANG = "gang";

  private final Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);

  @BeforeEach
  void addHosts() {
    for (int i = 0; i < HOSTS; i++) {
      scheduler.cluster().add(new WorkerHost("host-" + i, "zone", "rack", HOST));
    }
    scheduler.hostsChanged();
    scheduler.setPolicies(
        Map.of(
            "all",
            new PolicySpec(Labels.NONE, PolicyAlgorithm.PRIORITY_FIRST, "", 0, 0, 0, false)));
  }

  private static Job job(
      int tasks, ResourceAmount amount, int seconds, int priority, boolean longRunning) {
    JobOptions options =
        new JobOptions(
            priority,
            Set.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false,
            longRunning);
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            amount,
            Adjacency.ANY,
            seconds,
            !longRunning,
            false,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private static ResourceAmount accelerators(int count) {
    return new ResourceAmount(100, 100, count);
  }

  private void run(int host, ResourceAmount amount, int seconds, boolean longRunning) {
    Job job = job(1, amount, seconds, 0, longRunning);
    scheduler.adopt("on-" + host, "on-" + host, job, 0, new Placement(List.of("host-" + host)), 0);
  }

  private void submitGang(int tasks) {
    Job gang = job(tasks, new ResourceAmount(13_000, 26_000, 8), 11, GANG_PRIORITY, false);
    scheduler.submit(GANG, gang, 0);
  }

  private void submitFollowers(int count, ResourceAmount amount, int seconds) {
    for (int i = 0; i < count; i++) {
      scheduler.submit("small-" + i, job(1, amount, seconds, FOLLOWER_PRIORITY, false), 0);
    }
  }

  private long startedFollowers() {
    return scheduler.running().stream()
        .filter(attempt -> attempt.jobName().startsWith("small-"))
        .count();
  }

  // Guards against expecting the gang to start at once, forever, since what is free on all hosts
  // together is enough for it, and keeping all of that free.
  @Test
  void aGangThatFitsOnNoHostHoldsBackNothing() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(1), 3, true);
    }
    submitGang(7);
    submitFollowers(FOLLOWERS, SMALL, 6);
    scheduler.decide(1000);
    assertThat(scheduler.attemptOf(GANG)).isEmpty();
    assertThat(startedFollowers()).isEqualTo(FOLLOWERS);
  }

  // Guards against taking the estimate of long-running work for its end, which moves on forever.
  @Test
  void longRunningWorkIsNotExpectedToEnd() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(5), 3, true);
    }
    submitGang(4);
    submitFollowers(FOLLOWERS, SMALL, 6);
    scheduler.decide(1000);
    assertThat(startedFollowers()).isEqualTo(FOLLOWERS);
  }

  // The gang waits for two hosts, and needs none of the others: what is free there is not spare
  // capacity that the first of the followers uses up.
  @Test
  void hostsThatTheGangCannotUseAreNotKeptFree() {
    run(0, accelerators(8), 10, false);
    run(1, accelerators(8), 10, false);
    for (int i = 2; i < HOSTS; i++) {
      run(i, accelerators(5), 3, true);
    }
    submitGang(2);
    submitFollowers(HOSTS - 2, accelerators(3), 20);
    scheduler.decide(1000);
    assertThat(startedFollowers()).isEqualTo(HOSTS - 2);
  }

  // Guards against filling the processors of the hosts that the gang waits for with work that needs
  // no accelerators.
  @Test
  void workWithoutAcceleratorsLeavesTheProcessorsThatTheGangNeeds() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(8), 10, false);
    }
    submitGang(HOSTS);
    submitFollowers(1, new ResourceAmount(30_000, 100, 0), 100);
    scheduler.decide(1000);
    assertThat(startedFollowers()).isEqualTo(0);
    assertThat(scheduler.reasonKind("small-0")).hasValue(WaitReason.Kind.KEPT_FOR_EARLIER_JOB);
  }

  // Guards against keeping room free for longer than work that fits is promised to wait, while
  // less than half of the capacity is in use.
  @Test
  void workStartsOnAServiceThatIsLessThanHalfInUse() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(1), 10, false);
    }
    submitGang(HOSTS);
    submitFollowers(FOLLOWERS, accelerators(2), 20);
    scheduler.decide(1000);
    assertThat(startedFollowers()).isEqualTo(FOLLOWERS);
  }

  // Guards against leaving long-running work without its place while a gang waits.
  @Test
  void longRunningWorkIsNotHeldBack() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(6), 10, false);
    }
    submitGang(HOSTS);
    scheduler.submit("lasting", job(1, accelerators(2), 3, FOLLOWER_PRIORITY, true), 0);
    submitFollowers(1, accelerators(2), 20);
    scheduler.decide(1000);
    assertThat(scheduler.attemptOf("lasting")).isPresent();
    assertThat(startedFollowers()).isEqualTo(0);
  }

  // Guards against holding back work that the policy would place on a host that the gang needs,
  // although another host has room for it.
  @Test
  void workStartsOnOtherHostsThanThoseThatTheGangNeeds() {
    for (int i = 0; i < HOSTS; i++) {
      run(i, accelerators(i < 7 ? 8 : 2), i < 2 ? 10 : 100, false);
    }
    submitGang(2);
    submitFollowers(1, new ResourceAmount(30_000, 100, 0), 100);
    scheduler.decide(1000);
    assertThat(startedFollowers()).isEqualTo(1);
    String host =
        scheduler.running().stream()
            .filter(attempt -> attempt.jobName().startsWith("small-"))
            .map(attempt -> attempt.placement().hosts().get(0))
            .findFirst()
            .orElseThrow();
    assertThat(Set.of("host-0", "host-1")).doesNotContain(host);
  }
}
