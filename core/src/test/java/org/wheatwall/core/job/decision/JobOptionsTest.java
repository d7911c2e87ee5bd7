package org.wheatwall.core.job.decision;

import static com.google.common.truth.Truth.assertThat;

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
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Host constraints of jobs are enforced under every policy, and also count adopted attempts. */
final class JobOptionsTest {
  private static final ResourceAmount HOST = new ResourceAmount(32, 1000, 8);
  private static final ResourceAmount TASK = new ResourceAmount(1, 10, 1);

  private final Scheduler scheduler = new Scheduler(SchedulerSettings.DEFAULT);
  private long nowMs = 1000;

  private void addHost(String name, String rack, String label) {
    scheduler.cluster().add(new WorkerHost(name, "zone", rack, HOST));
    scheduler.cluster().setLabels(name, new Labels(Map.of(label, label)));
    scheduler.hostsChanged();
  }

  private static Job job(int tasks, JobOptions options) {
    return new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            TASK,
            Adjacency.ANY,
            10,
            true,
            false,
            JobPhase.SUBMITTED)
        .withOptions(options);
  }

  private static JobOptions spread(int limit) {
    return new JobOptions(
        0,
        Set.of(),
        Optional.empty(),
        Optional.of("step"),
        limit,
        false,
        Set.of(),
        HostSharing.ORDINARY,
        Optional.empty(),
        false);
  }

  private List<String> startedOn(String name, Job job) {
    scheduler.submit(name, job, nowMs);
    for (Decision decision : scheduler.decide(nowMs++)) {
      if (decision instanceof Decision.Start start && start.jobName().equals(name)) {
        return start.placement().hosts();
      }
    }
    return List.of();
  }

  @Test
  void onlyHostsWithTheLabelAreUsed() {
    addHost("plain", "r1", "other");
    addHost("labelled", "r1", "wanted");
    JobOptions options =
        new JobOptions(
            0,
            Set.of("wanted"),
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false);
    assertThat(startedOn("job", job(2, options))).containsExactly("labelled", "labelled");
  }

  @Test
  void thePreferredRackIsUsedWhileItExists() {
    addHost("a", "r1", "x");
    addHost("b", "r2", "x");
    JobOptions options =
        new JobOptions(
            0,
            Set.of(),
            Optional.of("r2"),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false);
    assertThat(startedOn("near", job(1, options))).containsExactly("b");
    JobOptions gone =
        new JobOptions(
            0,
            Set.of(),
            Optional.of("r9"),
            Optional.empty(),
            0,
            false,
            Set.of(),
            HostSharing.ORDINARY,
            Optional.empty(),
            false);
    assertThat(startedOn("anywhere", job(1, gone))).hasSize(1);
  }

  @Test
  void anAvoidedHostIsUsedOnlyIfNoOtherIsLeft() {
    addHost("a", "r1", "x");
    addHost("b", "r1", "x");
    JobOptions avoid =
        new JobOptions(
            0,
            Set.of(),
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            Set.of("a"),
            HostSharing.ORDINARY,
            Optional.empty(),
            false);
    assertThat(startedOn("first", job(8, avoid))).doesNotContain("a");
    scheduler.cluster().remove("b");
    assertThat(startedOn("second", job(1, avoid))).containsExactly("a");
  }

  @Test
  void theSpreadLimitCountsTasksOfSeparateJobs() {
    addHost("a", "r1", "x");
    assertThat(startedOn("one", job(1, spread(2)))).containsExactly("a");
    assertThat(startedOn("two", job(1, spread(2)))).containsExactly("a");
    assertThat(startedOn("three", job(1, spread(2)))).isEmpty();
    scheduler.attemptEnded(scheduler.attemptOf("one").get(), EndReason.SUCCEEDED, nowMs);
    assertThat(scheduler.decide(nowMs++)).hasSize(1);
  }

  // A new decider learns of running attempts before it learns of their hosts. Guards against
  // counting tasks only on hosts that are already known.
  @Test
  void theSpreadLimitCountsAttemptsAdoptedBeforeTheirHostIsKnown() {
    Job job = job(1, spread(2));
    scheduler.adopt("x1", "one", job, 0, new Placement(List.of("a")), nowMs);
    scheduler.adopt("x2", "two", job, 0, new Placement(List.of("a")), nowMs);
    addHost("a", "r1", "x");
    assertThat(startedOn("three", job)).isEmpty();
  }

  private static JobOptions sharing(HostSharing kind) {
    return new JobOptions(
        0,
        Set.of(),
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        Set.of(),
        kind,
        Optional.empty(),
        false);
  }

  @Test
  void fillingAndServingTasksNeverShareAHost() {
    addHost("a", "r1", "x");
    addHost("b", "r1", "x");
    assertThat(startedOn("serving", job(1, sharing(HostSharing.SERVING)))).containsExactly("a");
    assertThat(startedOn("filling", job(1, sharing(HostSharing.FILLING)))).containsExactly("b");
    assertThat(startedOn("more", job(1, sharing(HostSharing.SERVING)))).containsExactly("a");
    assertThat(startedOn("ordinary", job(1, JobOptions.NONE))).hasSize(1);
  }

  @Test
  void aHostAcceptsFillingTasksOnceTheServingOnesHaveEnded() {
    addHost("a", "r1", "x");
    Job serving = job(1, sharing(HostSharing.SERVING));
    scheduler.adopt("x1", "one", serving, 0, new Placement(List.of("a")), nowMs);
    assertThat(startedOn("filling", job(1, sharing(HostSharing.FILLING)))).isEmpty();
    scheduler.attemptEnded("x1", EndReason.INTERRUPTED, nowMs);
    assertThat(scheduler.decide(nowMs++)).hasSize(1);
  }

  // Guards against a quarantine after three failures of one job: it lasts half a minute, and a few
  // such jobs left no capacity for gangs in the zone.
  @Test
  void aJobThatAlwaysFailsDoesNotQuarantineItsHost() {
    addHost("a", "r1", "x");
    for (int i = 0; i < 10; i++) {
      scheduler.taskFailed("a", "bad-job", nowMs);
    }
    assertThat(startedOn("other", job(1, JobOptions.NONE))).containsExactly("a");
    scheduler.taskFailed("a", "second", nowMs);
    scheduler.taskFailed("a", "third", nowMs);
    assertThat(startedOn("another", job(1, JobOptions.NONE))).isEmpty();
  }

  private static Job urgent(String workspace, int tasks) {
    return new Job(
        Labels.NONE,
        workspace,
        "zone",
        Optional.empty(),
        tasks,
        TASK,
        Adjacency.ANY,
        10,
        true,
        true,
        JobPhase.SUBMITTED);
  }

  // Guards against urgent work never preempting urgent work: a burst of one workspace then kept the
  // others from their guarantees.
  @Test
  void guaranteedUrgentWorkPreemptsUrgentWorkBeyondItsGuarantee() {
    addHost("a", "r1", "x");
    scheduler.setUrgentGuarantees(Map.of("greedy", 4, "modest", 4));
    assertThat(startedOn("burst", urgent("greedy", 8))).hasSize(8);
    assertThat(startedOn("guaranteed", urgent("modest", 4))).hasSize(4);
    assertThat(scheduler.withdraw("burst")).isPresent();
  }

  @Test
  void urgentWorkWithinItsGuaranteeIsNotPreempted() {
    addHost("a", "r1", "x");
    scheduler.setUrgentGuarantees(Map.of("one", 8, "two", 4));
    assertThat(startedOn("first", urgent("one", 8))).hasSize(8);
    assertThat(startedOn("second", urgent("two", 4))).isEmpty();
  }

  @Test
  void otherWorkLeavesTheReserveFreeWhileUrgentWorkArrives() {
    Scheduler reserving =
        new Scheduler(
            new SchedulerSettings(
                600_000, 500, 64, HostHealthSettings.DEFAULT, 25, Mechanisms.ALL));
    reserving.cluster().add(new WorkerHost("a", "zone", "r1", HOST));
    reserving.hostsChanged();
    reserving.submit("urgent", urgent("w", 3), 1000);
    reserving.submit("fits", job(3, JobOptions.NONE), 1000);
    reserving.submit("waits", job(1, JobOptions.NONE), 1000);
    assertThat(reserving.decide(1000)).hasSize(2);
    assertThat(reserving.waiting()).hasSize(1);
    assertThat(reserving.decide(20_000)).hasSize(1);
  }
}
